"""Two slots and a log: what was synced is read back, whatever becomes of later writes."""

from __future__ import annotations

from random import Random

import pytest

from hophinge.coordination.messages import NO_BALLOT, EntryRecord, StateRecord, SyncedRecord, VoteRecord
from hophinge.coordination.registers import Change, HistoryEntry, Snapshot
from hophinge.coordination.storage.store import LOG, MAX_LOG_BYTES, SLOTS, RecoveredState, DurableStore


class TornVolume:
    """A disk in memory: what was not synced is lost, kept or torn when power goes."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, bytes] = {}
        self.writes: list[tuple[str, int, bytes]] = []
        self.free = 1 << 30

    def read(self, name: str) -> bytes:
        return bytes(self.files.get(name, b""))

    def write(self, name: str, offset: int, data: bytes) -> None:
        if len(data) > self.free:
            raise OSError(28, "no space left on device")
        self._place(self.files.setdefault(name, bytearray()), offset, data)
        self.writes.append((name, offset, data))

    @staticmethod
    def _place(file: bytearray, offset: int, data: bytes) -> None:
        if len(file) < offset:
            file.extend(b"\0" * (offset - len(file)))
        file[offset : offset + len(data)] = data

    def sync(self, name: str) -> None:
        self.synced[name] = bytes(self.files.get(name, b""))
        self.writes = [one for one in self.writes if one[0] != name]

    def close(self) -> None:
        pass

    def lose_power(self, random: Random) -> None:
        """Each write since its file's last sync is present, missing or torn."""
        files = {name: bytearray(data) for name, data in self.synced.items()}
        for name, offset, data in self.writes:
            kept = random.choice([0, len(data), random.randrange(len(data) + 1)])
            if kept:
                self._place(files.setdefault(name, bytearray()), offset, data[:kept])
        self.files, self.writes = files, []
        self.synced = {name: bytes(data) for name, data in files.items()}


def _entry(number: int, size: int = 10) -> EntryRecord:
    return EntryRecord(
        HistoryEntry(number, Change("configuration", number - 1, number, b"d", bytes([number % 256]) * size))
    )


def _state(sequence: int) -> StateRecord:
    return StateRecord("disk", None, VoteRecord(1, NO_BALLOT, NO_BALLOT, None), 1, Snapshot(sequence))


def _entries(recovered: RecoveredState) -> list[int]:
    first = recovered.state.snapshot.sequence if recovered.state else 0
    found = [record.entry.sequence for record in recovered.records if isinstance(record, EntryRecord)]
    return list(range(1, first + 1)) + found


def test_an_empty_disk_holds_nothing() -> None:
    assert DurableStore(TornVolume()).recover() == RecoveredState(None, ())


def test_records_come_back_in_order_after_the_newer_slot() -> None:
    volume = TornVolume()
    store = DurableStore(volume)
    store.save(_state(0))
    store.append([_entry(1), SyncedRecord(1, None)])
    store.append([_entry(2)])
    again = DurableStore(volume).recover()
    assert again.records == (_entry(1), SyncedRecord(1, None), _entry(2))
    store.save(_state(2))
    store.append([_entry(3)])
    again = DurableStore(volume).recover()
    assert again.state == _state(2)
    assert again.records == (_entry(3),)


@pytest.mark.parametrize("seed", range(200))
def test_what_was_synced_survives_a_loss_of_power_at_any_write(seed: int) -> None:
    random, volume = Random(seed), TornVolume()
    store = DurableStore(volume)
    store.save(_state(0))
    done = 0
    for _ in range(4):
        for _ in range(random.randrange(6)):
            if random.random() < 0.2:
                store.save(_state(done))
            else:
                store.append([_entry(done + 1, random.choice([10, 3000]))])
                done += 1
        # One more write is under way when power goes: its sync never returns.
        sync, volume.sync = volume.sync, lambda name: None  # type: ignore[method-assign]
        under_way = random.random() < 0.5
        if under_way:
            store.append([_entry(done + 1)])
        else:
            store.save(_state(done))
        volume.sync = sync  # type: ignore[method-assign]
        volume.lose_power(random)
        store = DurableStore(volume)
        recovered = store.recover()
        assert not recovered.is_damaged, "a loss of power is no damage"
        assert store.scrub() == []
        found = _entries(recovered)
        assert found in (list(range(1, done + 1)), list(range(1, done + 2)) if under_way else found)
        assert len(found) >= done, "a synced record is lost"
        done = len(found)


def test_a_flipped_byte_in_the_newer_slot_is_noticed() -> None:
    volume = TornVolume()
    store = DurableStore(volume)
    store.save(_state(1))
    store.save(_state(2))
    name = SLOTS[store.current_slot]
    volume.files[name][-1] ^= 1
    again = DurableStore(volume)
    assert again.recover().state == _state(1)
    assert again.unreadable_slots == 1


def test_a_flipped_byte_in_the_log_ends_it_there() -> None:
    volume = TornVolume()
    store = DurableStore(volume)
    store.save(_state(0))
    for number in range(1, 4):
        store.append([_entry(number)])
    volume.files[LOG][len(volume.files[LOG]) // 2] ^= 1
    assert DurableStore(volume).recover().records == (_entry(1),)


def test_a_full_disk_is_told_and_a_whole_state_makes_good_for_it() -> None:
    volume = TornVolume()
    store = DurableStore(volume)
    store.save(_state(0))
    volume.free = 0
    with pytest.raises(OSError, match="no space"):
        store.append([_entry(1)])
    volume.free = 1 << 30
    store.save(_state(1))
    store.append([_entry(2)])
    assert _entries(DurableStore(volume).recover()) == [1, 2]


def test_the_log_asks_for_a_slot_once_it_has_grown() -> None:
    store = DurableStore(TornVolume())
    store.save(_state(0))
    assert not store.is_log_full
    store.append([_entry(1, MAX_LOG_BYTES)])
    assert store.is_log_full
    store.save(_state(1))
    assert not store.is_log_full


def _written() -> tuple[TornVolume, DurableStore]:
    volume = TornVolume()
    store = DurableStore(volume)
    store.save(_state(0))
    store.save(_state(1))
    for number in range(2, 5):
        store.append([_entry(number)])
    return volume, store


def test_a_state_that_was_built_on_and_cannot_be_read_any_more_makes_the_disk_a_new_one() -> None:
    volume, store = _written()
    volume.files[SLOTS[store.current_slot]][-1] ^= 1
    again = DurableStore(volume)
    assert again.recover() == RecoveredState(None, (), is_damaged=True)
    again.save(_state(9))
    assert DurableStore(volume).recover().state == _state(9), "what was there before never counts again"


@pytest.mark.parametrize("name", ["slot", LOG])
def test_the_scrub_finds_any_flipped_byte_that_counts_and_a_whole_state_repairs_it(name: str) -> None:
    volume, store = _written()
    file = volume.files[SLOTS[store.current_slot] if name == "slot" else LOG]
    assert store.scrub() == []
    for place in range(len(file)):
        file[place] ^= 1
        found = store.scrub()
        assert [damage.file for damage in found] == [SLOTS[store.current_slot] if name == "slot" else LOG], place
        file[place] ^= 1
    file[len(file) // 2] ^= 1
    store.save(_state(4))
    assert store.scrub() == []
    assert _entries(DurableStore(volume).recover()) == [1, 2, 3, 4]
