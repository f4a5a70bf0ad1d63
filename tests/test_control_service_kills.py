"""Control services and heads as processes that are killed."""

from __future__ import annotations

import contextlib
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from hophinge.control import last_known_good
from hophinge.control.operator_client import call_operator_api
from hophinge.control.store import ControlStore
from tests.installation import GOOD, HEAD_TOKEN, SETTINGS, OPERATOR_TOKEN, Installation, follower, serving
from tests.stand_in import Backend, run, until, world
from tests.test_service import ROOT, config


def test_acknowledged_versions_survive_repeated_kills(tmp_path: Path) -> None:
    acknowledged, port = [], 0
    for turn in range(4):
        process, port = serving(tmp_path, port)
        try:
            for at in range(3):
                body = msgspec.json.encode({"text": GOOD + f"(limit (open {turn * 10 + at + 1} requests))"})
                answer = run(call_operator_api(f"127.0.0.1:{port}", OPERATOR_TOKEN, "Push", body))
                acknowledged.append(msgspec.json.decode(answer)["version"])
        finally:
            process.kill()
            process.wait()
            assert process.stderr is not None
            process.stderr.close()
    assert acknowledged == [f"1.{at + 1}" for at in range(12)]
    store = ControlStore(tmp_path / "v.db")
    assert [row["version"] for row in store.history(99)] == acknowledged[::-1]
    store.close()


def test_service_killed_while_sending_a_large_version_sends_all_of_it_after_restart(tmp_path: Path) -> None:
    count = 20_000
    large_document = GOOD + "".join(f"(limit (tenant t{at}) (open 9 requests))" for at in range(count))

    async def main() -> None:
        async with world(Backend(0)) as made:
            system = Installation(tmp_path, made)
            process, system.port = serving(tmp_path)
            head = await system.head("n0")
            await until(lambda: follower(head).is_connected)
            on_response, killed_at = follower(head).on_response, 0

            def on_response_then_kill(now_us: int, response: Any) -> Any:
                nonlocal killed_at
                actions = on_response(now_us, response)
                if follower(head).stored_records and not killed_at:  # some of the records have arrived
                    killed_at = len(follower(head).stored_records)
                    process.kill()
                return actions

            follower(head).on_response = on_response_then_kill  # type: ignore[method-assign]
            try:
                with contextlib.suppress(ConnectionError):  # the response may be lost
                    await system.push(large_document)
                await until(lambda: bool(killed_at))
                process.wait()
                assert killed_at < count
                assert process.stderr is not None
                process.stderr.close()
                process, system.port = serving(tmp_path, system.port)
                await system.runs(head, "1.1")
                assert len(follower(head).stored_records) == count + 2
            finally:
                process.kill()
                process.wait()
                assert process.stderr is not None
                process.stderr.close()

    run(main())


def test_head_killed_during_many_versions_restarts_from_a_complete_one(tmp_path: Path) -> None:
    process, port = serving(tmp_path)
    (tmp_path / "token").write_text(HEAD_TOKEN)
    (tmp_path / "op.toml").write_text(
        f'[stream]\nendpoints = ["127.0.0.1:{port}"]\ntoken_file = "token"\nfolder = "state"\n'
    )
    environ = {**config(tmp_path, settings=SETTINGS), "HOPHINGE_OPERATOR_FILE": str(tmp_path / "op.toml")}
    path, restored_ids = tmp_path / "state" / "last-good-n0.state", []
    try:
        for turn in range(5):
            head = subprocess.Popen(
                [sys.executable, "-m", "hophinge"], cwd=ROOT, env=environ, text=True, stdout=subprocess.PIPE
            )
            try:
                assert head.stdout is not None
                for line in head.stdout:
                    if "is active" in line or " serves on " in line:
                        break
                deadline_s = time.monotonic() + 0.1 + 0.07 * turn
                number = 0
                # At least until a version is persisted, which on a busy machine may take longer than the deadline.
                while time.monotonic() < deadline_s or not path.exists():
                    number += 1
                    text = GOOD + "".join(
                        f"(limit (tenant t{at}) (open {turn * 1000 + number} requests))" for at in range(200)
                    )
                    run(
                        call_operator_api(
                            f"127.0.0.1:{port}", OPERATOR_TOKEN, "Push", msgspec.json.encode({"text": text})
                        )
                    )
            finally:
                head.send_signal(signal.SIGKILL)
                head.wait()
                assert head.stdout is not None
                head.stdout.close()
            stored = last_known_good.load(path)  # raises StateFileError if the file is corrupt
            if stored is not None:
                restored_ids.append(stored.version_id)
    finally:
        process.kill()
        process.wait()
        assert process.stderr is not None
        process.stderr.close()
    assert len(restored_ids) >= 2 and restored_ids == sorted(restored_ids)
