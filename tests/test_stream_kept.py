"""What a head keeps of the stream: the last good version, its file, a cut at every byte."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

import pytest

from hophinge.control import lastgood, wire
from hophinge.control.follower import Apply, Log
from hophinge.control.publisher import Acked, Subscribed
from hophinge.control.wire import Kind, Order
from hophinge.routing.records import Record
from hophinge.state import files
from tests.stream_line import BAD, BEAT, GOOD, S, Line, follower, snapshot


def good(order: Order, rows: Iterable[Record]) -> lastgood.LastGood:
    made = snapshot(order, rows)
    return lastgood.made(made.version, made.rows, 0)


def test_a_head_starts_from_what_was_kept_and_resumes_without_a_resend() -> None:
    kept = good((1, 4), GOOD)
    head = follower()
    assert any(isinstance(action, Apply) for action in head.restore(kept.version, kept.rows, S))
    line = Line(head)
    line.push(snapshot((1, 4), GOOD))
    assert [wire.decode_response(frame).kind for frame in line.down] == [Kind.RECORD, Kind.VERSION]
    assert line.down[0] == BEAT  # the version alone
    line.deliver()
    assert line.events == [Subscribed("n0", (1, 4)), Acked((1, 4))] and line.applied == []


def test_a_kept_version_that_this_head_cannot_run_is_not_taken() -> None:
    kept, head = good((1, 4), [BAD[0]]), follower()
    assert all(isinstance(action, Log) for action in head.restore(kept.version, kept.rows, S))
    assert head.running == "none" and not head.held
    line = Line(head)
    line.push(snapshot((1, 5), GOOD))
    line.deliver()
    assert head.running == "1.5"


class Cutting(files.Disk):
    """A disk that loses power at one step of a write, or after some bytes of it."""

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


def test_a_cut_at_every_byte_of_a_write_leaves_the_old_or_the_new_version(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "last-good.state"
    old, new = good((1, 1), GOOD[:2]), good((1, 2), GOOD)
    lastgood.save(path, old)
    size = path.stat().st_size * 4
    monkeypatch.setattr(Path, "unlink", lambda *_, **__: None)  # who has no power does not tidy up
    points = [Cutting("write", at) for at in range(size)] + [Cutting("before")]
    for disk in points:
        with pytest.raises(SystemError):
            lastgood.save(path, new, disk)
        assert lastgood.load(path) == old
    with pytest.raises(SystemError):
        lastgood.save(path, new, Cutting("after"))
    assert lastgood.load(path) == new and len(points) > 1000


def test_two_processes_write_beside_each_other_and_what_killed_ones_left_is_removed(tmp_path: Path) -> None:
    path, old = tmp_path / "f.state", tmp_path / ".f.state.1.new"
    young = tmp_path / ".f.state.2.new"
    for left in (old, young):
        left.write_bytes(b"half")
    os.utime(old, (0, 0))
    lastgood.save(path, good((1, 1), GOOD))
    files.remove_leftovers(path)
    assert young.read_bytes() == b"half" and not old.exists()
    assert lastgood.load(path) == good((1, 1), GOOD)


def test_a_file_that_is_torn_foreign_or_of_another_form_is_told_from_a_good_one(tmp_path: Path) -> None:
    path = tmp_path / "last-good.state"
    assert lastgood.load(path) is None
    lastgood.save(path, good((1, 1), GOOD))
    whole = path.read_bytes()
    for at in range(0, len(whole)):
        path.write_bytes(whole[:at])
        with pytest.raises(files.StateFileError):
            lastgood.load(path)
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])
        with pytest.raises(files.StateFileError):
            lastgood.load(path)
    for data, why in ((b"\0" * 4096, "beginning"), (whole.replace(b"last-good 1", b"last-good 9", 1), "form 9")):
        path.write_bytes(data)
        with pytest.raises(files.StateFileError, match=why):
            lastgood.load(path)
    files.save(path, "other", 1, b"x")
    with pytest.raises(files.StateFileError, match="holds other"):
        lastgood.load(path)
