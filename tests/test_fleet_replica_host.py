"""A replica with a real disk: a scrub repairs damage, and a full disk acknowledges nothing until it is writable."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import replace
from pathlib import Path

import pytest
from loguru import logger

from hophinge.coordination.registers import Change, Outcome
from hophinge.coordination.storage.store import SLOTS
from hophinge.coordination.storage.volume import FileVolume
from hophinge.fleet.controlplane.group_commit import DISK_RETRY_INTERVAL_S, SCRUB_INTERVAL_S
from hophinge.fleet.controlplane.replica_host import ReplicaEffects, ReplicaHost
from hophinge.fleet.settings import Settings, parse_settings


def _settings(folder: Path) -> Settings:
    return parse_settings(
        {
            "node-name": "one",
            "ip": "127.0.0.1",
            "zone": "z",
            "internal-port-range": [7660, 7675],
            "seed-nodes": ["127.0.0.1:8146"],
            "bootstrap": True,
            "counts-for-quorum": True,
            "data-dir": str(folder),
        }
    )


def test_the_scrub_logs_damage_and_rewrites_the_state(tmp_path: Path) -> None:
    events: list[str] = []
    sink = logger.add(events.append, format="{message}")

    async def play() -> None:
        written = asyncio.Queue[bool]()
        host = ReplicaHost(_settings(tmp_path), ReplicaEffects(lambda address, message: None, lambda published: None))
        commit = host.commit
        assert host.store is not None
        assert commit is not None
        complete_write = commit._complete_write

        def observed(batch: object, error: Exception | None) -> None:
            complete_write(batch, error)  # type: ignore[arg-type]
            written.put_nowait(commit.writing_since is None)

        commit._complete_write = observed  # type: ignore[method-assign]
        slot = tmp_path / SLOTS[host.store.current_slot]
        data = bytearray(slot.read_bytes())
        data[-1] ^= 1
        slot.write_bytes(bytes(data))
        commit.last_scrub_at = host.loop.time() - SCRUB_INTERVAL_S
        host.tick()
        while not await written.get():
            pass
        assert host.store.scrub() == []
        identity = host.me.identity
        restarted = ReplicaHost(_settings(tmp_path), host.effects)
        assert restarted.me.identity == identity

    try:
        asyncio.run(asyncio.wait_for(play(), 30.0))
    finally:
        logger.remove(sink)
    assert any(event.startswith("scrub found damage") for event in events)


def test_pending_requests_are_answered_as_unknown_at_shutdown(tmp_path: Path) -> None:
    async def play() -> None:
        host = ReplicaHost(
            replace(_settings(tmp_path), bootstrap=False),
            ReplicaEffects(lambda address, message: None, lambda published: None),
        )
        pending = asyncio.create_task(host.request("configuration", Change("configuration", 0, 1, b"d", b"x"), 60.0))
        while not host.pending_requests:
            await asyncio.sleep(0)
        host.answer_pending_unknown()
        assert (await pending).outcome is None
        host.answer_pending_unknown()

    asyncio.run(asyncio.wait_for(play(), 30.0))


REJECTED_WRITES = 4  # that the full disk rejects


async def _await_rejected_writes(host: ReplicaHost, rejected: list[str]) -> None:
    """Run the host until the disk has rejected `REJECTED_WRITES` writes; no pending request may complete."""
    assert host.commit is not None
    while len(rejected) < REJECTED_WRITES:
        if host.commit.failed_at is not None:
            host.commit.failed_at = host.loop.time() - DISK_RETRY_INTERVAL_S
        host.tick()
        assert not any(future.done() for future in host.pending_requests.values())
        await asyncio.sleep(0)


def test_a_full_disk_acknowledges_nothing_until_it_is_writable_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change requested meanwhile is on the disk once it is acknowledged."""
    rejected: list[str] = []

    def full(volume: FileVolume, name: str, offset: int, data: bytes) -> None:
        rejected.append(name)
        raise OSError(errno.ENOSPC, "no space left")

    async def play() -> None:
        effects = ReplicaEffects(lambda address, message: None, lambda published: None)
        settings = replace(_settings(tmp_path), seeds=("127.0.0.1:8146",), control_address="127.0.0.1:8146")
        host = ReplicaHost(settings, effects)
        host.tick()
        first = Change("configuration", 0, 1, b"a", b"first")
        assert (await host.request("configuration", first, 60.0)).outcome is Outcome.APPLIED
        with monkeypatch.context() as patch:
            patch.setattr(FileVolume, "write", full)
            second = Change("configuration", 1, 2, b"b", b"second")
            pending = asyncio.create_task(host.request("configuration", second, 60.0))
            await _await_rejected_writes(host, rejected)
        assert host.commit is not None
        host.commit.failed_at = host.loop.time() - DISK_RETRY_INTERVAL_S
        while not pending.done():
            host.tick()
            await asyncio.sleep(0)
        assert (await pending).outcome is Outcome.APPLIED
        restarted = ReplicaHost(settings, effects)
        assert restarted.machine.chain.registers.current("configuration").payload == b"second"

    asyncio.run(asyncio.wait_for(play(), 30.0))
