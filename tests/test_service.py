"""The program as a process: invalid configurations, counters on request, reload and shutdown by signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from hophinge.head.operator_config import load
from tests.stand_in import Backend, DiscoveryAgent, Wire, headers, held_by, run, setup, until, world
from tests.test_net import READ

ROOT = Path(__file__).parent.parent
# A loopback address that only this test run uses, so that parallel runs do not collide.
HOST, PORT = f"127.71.{os.getpid() % 250}.{os.getpid() // 250 % 250 + 1}", 18081
COMMAND = [sys.executable, "-m", "hophinge"]


def config(folder: Path, **changes: Any) -> dict[str, str]:
    fields = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": True, "targets": []},
        "settings": setup(),
        **changes,
    }
    (folder / "config.json").write_text(json.dumps(fields))
    return {**os.environ, "EDGE_CONFIG": str(folder / "config.json")}


def is_rejected(environ: dict[str, str]) -> bool:
    """Start the program and return whether it exited with status 2 and a single line on standard error."""
    completed = subprocess.run(COMMAND, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=20, check=False)
    return completed.returncode == 2 and completed.stderr.count("\n") == 1 and completed.stderr.startswith("hophinge: ")


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "nowhere"},
        {"seed": "odd"},
        {"known": {"rev": "x", "targets": []}},
        {"settings": {}},
        {"settings": setup(RequestClasses=[{"Name": "a", "Effect": "odd"}])},
        {"settings": setup(Grades="many")},
        {"settings": 3},
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_with_exit_status_2(
    changes: dict[str, Any], tmp_path: Path
) -> None:
    assert is_rejected(config(tmp_path, **changes))


def test_an_address_in_use_is_reported_in_one_line_with_exit_status_2(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        assert is_rejected(config(tmp_path, listen=f"127.0.0.1:{listening.getsockname()[1]}"))


@pytest.mark.parametrize(
    "text",
    [
        None,
        "[objects]\nlisten = 3",
        "[unknown]",
        "[admin]\nlisten='a:1'\ntoken_file='t'",
        "[objects]\nlisten='127.0.0.1:0'\ntenants='t'\nread_class='no'\nwrite_class='no'",
    ],
)
def test_an_invalid_operator_s_file_is_reported_in_one_line_with_exit_status_2(
    text: str | None, tmp_path: Path
) -> None:
    path = tmp_path / "operator.toml"
    if text is not None:
        path.write_text(text)
    assert is_rejected({**config(tmp_path), "HOPHINGE_OPERATOR_FILE": str(path)})


@pytest.mark.parametrize(("path", "parts"), [("deploy/objects.toml", 1), ("examples/operator.toml", 2)])
def test_the_repository_s_own_operator_s_files_are_valid(path: str, parts: int) -> None:
    operator = load(str(ROOT / path))
    assert operator.objects is not None and operator.objects.tenants.is_absolute()
    assert sum(section is not None for section in (operator.objects, operator.admin, operator.remote_write)) == parts


def test_the_commented_sections_of_the_operator_s_file_are_valid_too(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "objects.toml").read_text()
    enabled, _, rest = text.partition("# [admin]")
    uncommented = "[admin]" + "\n".join(line.removeprefix("# ") for line in rest.splitlines())
    (tmp_path / "all.toml").write_text(enabled + uncommented)
    operator = load(str(tmp_path / "all.toml"))
    assert operator.admin is not None and operator.admin.listen == "127.0.0.1:9081"
    assert operator.remote_write is not None and operator.remote_write.queue == 64


@pytest.mark.parametrize("has_operator_file", [False, True])
def test_a_head_without_an_operator_s_file_loads_no_certificates(has_operator_file: bool) -> None:
    code = (
        "import os\nfrom hophinge.head.main_import import import_main\nimport_main()\nimport aiohttp.connector as c\n"
        "print(c._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509'], os.environ.get('SSL_CERT_DIR'),\n"
        "      c.ssl.create_default_context().cert_store_stats()['x509'])"
    )
    environ = {name: text for name, text in os.environ.items() if name != "SSL_CERT_DIR"}
    completed = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**environ, **({"HOPHINGE_OPERATOR_FILE": "op.toml"} if has_operator_file else {})},
    )
    count, folder, system_count = completed.stdout.split()
    assert folder == "None" and count == (system_count if has_operator_file else "0")


async def connected() -> Wire:
    """Wait until the program serves, and return a connection to it."""
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


@asynccontextmanager
async def program(environ: dict[str, str], *fds: int) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start the program as a process, which is killed if it is still running at the end."""
    process = await asyncio.create_subprocess_exec(
        *COMMAND, cwd=ROOT, env=environ, stdout=asyncio.subprocess.PIPE, pass_fds=fds
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def test_the_program_serves_prints_its_counters_and_shuts_down_at_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            backend = made.backends[0]
            known = {
                "rev": 1,
                "all": True,
                "targets": [{"uid": backend.name, "endpoint": backend.endpoint, "state": "Ready", "pod_group": 0}],
            }
            environ = config(tmp_path, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint, known=known)
            async with program(environ) as process:
                wire = await connected()
                backend.objects[READ.split("/", 2)[2]] = b"kept"
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

    run(main())


def test_sighup_changes_the_address_of_discovery_at_once_and_nothing_else(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            backend, other, gate = *made.backends, asyncio.Event()
            agent = DiscoveryAgent()
            await agent.open()
            environ = config(tmp_path, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint)
            environ["EDGE_DISCOVERY"] = made.agent.endpoint
            made.agent.targets = {backend.name: backend.target()}

            backend.behave = held_by(gate)
            async with program(environ) as process:
                assert process.stdout is not None
                wire = await connected()
                wire.send(READ, headers(1, X_Remaining_Ms="20000"))
                await until(lambda: len(backend.seen) == 1)
                (tmp_path / "config.json").write_text(
                    "{"
                )  # a file that is still being written: logged, and nothing changes
                process.send_signal(signal.SIGHUP)
                await process.stdout.readuntil(b"kept as it was")
                assert not agent.asked
                agent.targets = {listed.name: listed.target() for listed in made.backends}
                config(tmp_path, listen=f"{HOST}:{PORT}", discovery=agent.endpoint)
                process.send_signal(signal.SIGHUP)
                await until(lambda: len(agent.asked) == 2)  # a complete list, then a watch
                assert agent.asked[0] == "/v1/servers"
                await until(lambda: made.agent.watching == 0)  # the old watch has ended
                second = await connected()
                second.send(READ, headers(2, X_Placement="units=2,shard=1,hosts=1"))
                assert (await second.receive())[0] == 404 and len(other.seen) == 1
                gate.set()
                assert (await wire.receive())[0] == 404  # the open request was not affected
                wire.close()
                second.close()
                process.send_signal(signal.SIGTERM)
                assert b"reloads 1\n" in await process.stdout.read() and await process.wait() == 0
            await agent.close()

    run(main())


def test_sighup_before_the_service_runs_does_not_end_the_program(tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            environ = config(tmp_path, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint)
            async with program(environ) as process:
                # The process inherits no blocked signals, so its mask shows when the program has blocked SIGHUP.
                status = Path(f"/proc/{process.pid}/status")
                await until(
                    lambda: (
                        not process.returncode
                        and b"hophinge" in Path(f"/proc/{process.pid}/cmdline").read_bytes()
                        and blocks_sighup(status.read_text())
                    )
                )
                process.send_signal(signal.SIGHUP)
                wire = await connected()
                wire.close()
                process.send_signal(signal.SIGTERM)
                assert process.stdout is not None
                assert b"reloads 1\n" in await process.stdout.read() and await process.wait() == 0

    def blocks_sighup(status: str) -> bool:
        masks = {name: text for name, _, text in (line.partition(":\t") for line in status.splitlines())}
        return bool(int(masks["SigBlk"], 16) >> (signal.SIGHUP - 1) & 1)

    run(main())
