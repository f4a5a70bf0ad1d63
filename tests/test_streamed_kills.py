"""Streamed configuration by processes: services and heads that are killed."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from hophinge.control import lastgood
from hophinge.control.client import call
from hophinge.control.store import Store
from tests.installation import GOOD, HEADS, SETTINGS, STAFF, Installation, follower, serving
from tests.stand_in import Backend, run, until, world
from tests.test_service import ROOT, config


def test_a_service_killed_again_and_again_keeps_every_version_that_it_told_of(tmp_path: Path) -> None:
    told, port = [], 0
    for turn in range(4):
        process, port = serving(tmp_path, port)
        try:
            for at in range(3):
                body = msgspec.json.encode({"text": GOOD + f"(limit (open {turn * 10 + at + 1} requests))"})
                answer = run(call(f"127.0.0.1:{port}", STAFF, "Push", body))
                told.append(msgspec.json.decode(answer)["version"])
        finally:
            process.kill()
            process.wait()
            assert process.stderr is not None
            process.stderr.close()
    assert told == [f"1.{at + 1}" for at in range(12)]
    store = Store(tmp_path / "v.db")
    assert [row["version"] for row in store.history(99)] == told[::-1]
    store.close()


def test_a_service_killed_while_it_sends_a_large_version_sends_all_of_it_when_it_is_back(tmp_path: Path) -> None:
    count = 20_000
    big = GOOD + "".join(f"(limit (tenant t{at}) (open 9 requests))" for at in range(count))

    async def main() -> None:
        async with world(Backend(0)) as made:
            here = Installation(tmp_path, made)
            process, here.port = serving(tmp_path)
            head = await here.head("n0")
            await until(lambda: follower(head).connected)
            received, killed_at = follower(head).received, 0

            def killing(now_us: int, response: Any) -> Any:
                nonlocal killed_at
                actions = received(now_us, response)
                if follower(head).held and not killed_at:  # some records are here, not all
                    killed_at = len(follower(head).held)
                    process.kill()
                return actions

            follower(head).received = killing
            try:
                with contextlib.suppress(ConnectionError):  # its answer may be lost with it
                    await here.push(big)
                await until(lambda: bool(killed_at))
                process.wait()
                assert killed_at < count
                assert process.stderr is not None
                process.stderr.close()
                process, here.port = serving(tmp_path, here.port)
                await here.runs(head, "1.1")
                assert len(follower(head).held) == count + 2
            finally:
                process.kill()
                process.wait()
                assert process.stderr is not None
                process.stderr.close()

    run(main())


def test_a_head_killed_at_any_moment_of_a_storm_of_versions_starts_from_a_whole_one(tmp_path: Path) -> None:
    process, port = serving(tmp_path)
    (tmp_path / "token").write_text(HEADS)
    (tmp_path / "op.toml").write_text(
        f'[stream]\nendpoints = ["127.0.0.1:{port}"]\ntoken_file = "token"\nfolder = "state"\n'
    )
    environ = {**config(tmp_path, settings=SETTINGS), "HOPHINGE_OPERATOR_FILE": str(tmp_path / "op.toml")}
    path, seen = tmp_path / "state" / "last-good-n0.state", []
    try:
        for turn in range(5):
            head = subprocess.Popen(
                [sys.executable, "-m", "hophinge"], cwd=ROOT, env=environ, text=True, stdout=subprocess.PIPE
            )
            try:
                assert head.stdout is not None
                for line in head.stdout:
                    if "is in force" in line or " serves on " in line:
                        break
                until_s = time.monotonic() + 0.1 + 0.07 * turn
                number = 0
                # At least until a version of this turn is kept: a busy machine may take longer than the turn.
                while time.monotonic() < until_s or not path.exists():
                    number += 1
                    text = GOOD + "".join(
                        f"(limit (tenant t{at}) (open {turn * 1000 + number} requests))" for at in range(200)
                    )
                    run(call(f"127.0.0.1:{port}", STAFF, "Push", msgspec.json.encode({"text": text})))
            finally:
                head.send_signal(signal.SIGKILL)
                head.wait()
                assert head.stdout is not None
                head.stdout.close()
            kept = lastgood.load(path)  # UnusableError would be a torn file
            if kept is not None:
                seen.append(kept.order)
    finally:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()
    assert len(seen) >= 2 and seen == sorted(seen)
