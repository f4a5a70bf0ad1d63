"""The program itself: a bad configuration, counters on request, and its end by a signal."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from hophinge.objects.config import load
from tests.stand_in import Brick, Wire, headers, run, setup, world
from tests.test_net import READ

ROOT = Path(__file__).parent.parent
HOST, PORT = "127.71.7.1", 18081     # a loopback address of its own, where nothing else listens
COMMAND = [sys.executable, "-m", "hophinge"]


def config(folder: Path, **changes: Any) -> dict[str, str]:
    made = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "all": True, "targets": []}, "settings": setup(), **changes}
    (folder / "config.json").write_text(json.dumps(made))
    return {**os.environ, "EDGE_CONFIG": str(folder / "config.json")}


def refused(environ: dict[str, str]) -> bool:
    """Start the program; tell whether it ended with 2 and one plain line."""
    done = subprocess.run(COMMAND, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=20, check=False)
    return done.returncode == 2 and done.stderr.count("\n") == 1 and done.stderr.startswith("hophinge: ")


@pytest.mark.parametrize("changes", [
    {"listen": "nowhere"}, {"seed": "odd"}, {"known": {"rev": "x", "targets": []}},
    {"settings": {}}, {"settings": setup(RequestClasses=[{"Name": "a", "Effect": "odd"}])},
    {"settings": setup(Grades="many")}, {"settings": 3}])
def test_a_bad_configuration_is_one_line_and_exit_2(changes: dict[str, Any], tmp_path: Path) -> None:
    assert refused(config(tmp_path, **changes))


def test_an_address_in_use_too(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        assert refused(config(tmp_path, listen=f"127.0.0.1:{taken.getsockname()[1]}"))


@pytest.mark.parametrize("text", [None, "[objects]\nlisten = 3", "[unknown]", "[admin]\nlisten='a:1'\ntoken_file='t'",
                                  "[objects]\nlisten='127.0.0.1:0'\ntenants='t'\nread_class='no'\nwrite_class='no'"])
def test_a_bad_operator_s_file_too(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    if text is not None:
        path.write_text(text)
    assert refused({**config(tmp_path), "HOPHINGE_OPERATOR_FILE": str(path)})


@pytest.mark.parametrize(("path", "parts"), [("deploy/objects.toml", 1), ("examples/operator.toml", 2)])
def test_the_repository_s_own_operator_s_files_are_read(path: str, parts: int) -> None:
    found = load(str(ROOT / path))
    assert found.objects is not None and found.objects.tenants.is_absolute()
    assert sum(one is not None for one in (found.objects, found.admin, found.remote_write)) == parts


def test_every_part_of_the_operator_s_file_is_read(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "objects.toml").read_text()
    head, _, rest = text.partition("# [admin]")
    uncommented = "[admin]" + "\n".join(line.removeprefix("# ") for line in rest.splitlines())
    (tmp_path / "all.toml").write_text(head + uncommented)
    found = load(str(tmp_path / "all.toml"))
    assert found.admin is not None and found.admin.listen == "127.0.0.1:9081"
    assert found.remote_write is not None and found.remote_write.queue == 64


def test_the_program_serves_prints_its_counters_and_ends_by_a_signal(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Brick(0)) as made:
            brick = made.bricks[0]
            known = {"rev": 1, "all": True, "targets": [
                {"uid": brick.name, "endpoint": brick.endpoint, "state": "Ready", "pod_group": 0}]}
            environ = config(tmp_path, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint, known=known)
            process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environ, stdout=asyncio.subprocess.PIPE)
            try:
                wire = await connected()
                brick.objects[READ.split("/", 2)[2]] = b"kept"
                wire.send(READ, headers())
                assert (await wire.receive())[2] == b"kept"
                wire.close()
                process.send_signal(signal.SIGUSR1)
                assert process.stdout is not None
                first = await process.stdout.readuntil(b"end of counters\n")
                process.send_signal(signal.SIGTERM)
                rest = await process.stdout.read()
                assert await process.wait() == 0
                for text in (first, rest):
                    assert b"requests_served 1\n" in text and b"attempts_sent 1\n" in text
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    async def connected() -> Wire:
        while True:
            try:
                wire = Wire(*await asyncio.open_connection(HOST, PORT))
            except OSError:
                await asyncio.sleep(0.02)
                continue
            wire.send("/healthz", {})
            if (await wire.receive())[0] == 200:
                return wire
            wire.close()
    run(main())
