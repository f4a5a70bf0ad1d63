"""The last known good version of a head: its file, restarts, and a power failure at every byte of a write."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

import pytest

from hophinge.control import wire
from hophinge.control import last_known_good
from hophinge.control.follower_actions import ApplyTable, LogMessage
from hophinge.control.publisher import VersionAcknowledged, HeadSubscribed
from hophinge.control.messages import ResourceType, VersionId
from hophinge.routing.records import Record
from hophinge.state import files
from tests.stream_link import BAD, HEARTBEAT_FRAME, GOOD, StreamLink, follower, snapshot


def good(version_id: VersionId, rows: Iterable[Record]) -> last_known_good.LastKnownGood:
    version = snapshot(version_id, rows)
    return last_known_good.from_records(version.version, version.records, 0)


def test_restored_head_resumes_without_a_resend() -> None:
    stored = good((1, 4), GOOD)
    head = follower()
    assert any(isinstance(action, ApplyTable) for action in head.restore(stored.version, stored.records))
    link = StreamLink(head)
    link.push(snapshot((1, 4), GOOD))
    assert [wire.decode_response(frame).resource_type for frame in link.in_transit] == [
        ResourceType.RECORD,
        ResourceType.VERSION,
    ]
    assert link.in_transit[0] == HEARTBEAT_FRAME  # the version alone
    link.deliver()
    assert link.events == [HeadSubscribed("n0", (1, 4)), VersionAcknowledged((1, 4))] and link.applied == []


def test_restored_version_that_fails_validation_is_not_activated() -> None:
    stored, head = good((1, 4), [BAD[0]]), follower()
    assert all(isinstance(action, LogMessage) for action in head.restore(stored.version, stored.records))
    assert head.active_name == "none" and not head.stored_records
    link = StreamLink(head)
    link.push(snapshot((1, 5), GOOD))
    link.deliver()
    assert head.active_name == "1.5"


class PowerCut(files.Disk):
    """A disk that loses power at a step of a write, or after some of its bytes."""

    def __init__(self, step: str, bytes_left: int = 0) -> None:
        self.step, self.bytes_left = step, bytes_left

    def write(self, path: Path, data: bytes) -> None:
        if self.step == "write":
            path.write_bytes(data[: self.bytes_left])
            raise SystemError("power cut")
        super().write(path, data)

    def rename(self, old: Path, new: Path) -> None:
        if self.step == "before":
            raise SystemError("power cut")
        super().rename(old, new)
        if self.step == "after":
            raise SystemError("power cut")


def test_power_cut_at_any_byte_leaves_the_old_or_the_new_version(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "last-good.state"
    old, new = good((1, 1), GOOD[:2]), good((1, 2), GOOD)
    last_known_good.save(path, old)
    size = path.stat().st_size * 4
    monkeypatch.setattr(Path, "unlink", lambda *_, **__: None)  # a power failure leaves no chance to clean up
    points = [PowerCut("write", at) for at in range(size)] + [PowerCut("before")]
    for disk in points:
        with pytest.raises(SystemError):
            last_known_good.save(path, new, disk)
        assert last_known_good.load(path) == old
    with pytest.raises(SystemError):
        last_known_good.save(path, new, PowerCut("after"))
    assert last_known_good.load(path) == new and len(points) > 1000


def test_leftovers_of_killed_processes_are_removed(tmp_path: Path) -> None:
    path, old = tmp_path / "f.state", tmp_path / ".f.state.1.new"
    young = tmp_path / ".f.state.2.new"
    for leftover in (old, young):
        leftover.write_bytes(b"half")
    os.utime(old, (0, 0))
    last_known_good.save(path, good((1, 1), GOOD))
    files.remove_leftovers(path)
    assert young.read_bytes() == b"half" and not old.exists()
    assert last_known_good.load(path) == good((1, 1), GOOD)


def test_corrupt_foreign_or_unsupported_file_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "last-good.state"
    assert last_known_good.load(path) is None
    last_known_good.save(path, good((1, 1), GOOD))
    content = path.read_bytes()
    for at in range(0, len(content)):
        path.write_bytes(content[:at])
        with pytest.raises(files.StateFileError):
            last_known_good.load(path)
        path.write_bytes(content[:at] + bytes([content[at] ^ 1]) + content[at + 1 :])
        with pytest.raises(files.StateFileError):
            last_known_good.load(path)
    for data, reason in (
        (b"\0" * 4096, "not a state file"),
        (content.replace(b"last-good 1", b"last-good 9", 1), "format version 9"),
    ):
        path.write_bytes(data)
        with pytest.raises(files.StateFileError, match=reason):
            last_known_good.load(path)
    files.save(path, "other", 1, b"x")
    with pytest.raises(files.StateFileError, match="of kind other, expected last-good"):
        last_known_good.load(path)
