"""Both sides of the accounts' copies without sockets: a way that breaks off."""

from __future__ import annotations

from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control import wire
from hophinge.control.account_wire import decode_account_chunk, encode_account_chunk
from hophinge.state.rows import Row
from hophinge.tenancy import account_replication as feed_module
from hophinge.tenancy.account_replication import AccountReceiver, AccountSender
from tests import books


@settings(max_examples=80)
@given(st.integers(0, 2**32))
def test_copies_over_a_way_that_breaks_off_end_with_what_there_is(seed: int) -> None:
    import random
    import tempfile

    from hophinge.state.ledger import Ledger

    rng = random.Random(seed)
    part, feed_module.CHUNK_ROWS = feed_module.CHUNK_ROWS, 4
    try:
        with tempfile.TemporaryDirectory() as folder:
            ledger, copy = Ledger(Path(folder) / "a.db"), Ledger(Path(folder) / "b.db")
            taker, feed = AccountReceiver(copy.epoch, copy.seq), None

            def state(one: Ledger) -> dict[tuple[str, str], bytes | None]:
                return {(held.kind, held.name): held.body for held in one.rows()}

            past = [state(ledger)]
            for turn in range(rng.randrange(5, 40)):
                last = turn > 30
                if rng.random() < 0.5:
                    names = {f"n{rng.randrange(20)}" for _ in range(rng.randrange(1, 9))}
                    books.write(
                        ledger, *(Row("k", name, rng.randbytes(2) if rng.random() < 0.7 else None) for name in names)
                    )
                    past.append(state(ledger))
                    if rng.random() < 0.2:
                        ledger.db.execute("DELETE FROM row WHERE body IS NULL")
                        ledger.db.execute("UPDATE meta SET floor = ?", (ledger.seq,))
                if feed is None or (rng.random() < 0.2 and not last):  # a new stream: what was on its way is lost
                    if rng.random() < 0.3:  # and the head is a new process
                        copy.close()
                        copy = Ledger(Path(folder) / "b.db")
                        taker = AccountReceiver(copy.epoch, copy.seq)
                    taker.discard_staged()
                    feed = AccountSender(ledger.epoch, ledger.seq, ledger.tombstone_floor(), taker.epoch, taker.seq)
                while feed.needs_chunk(ledger.seq, ledger.tombstone_floor()) and rng.random() < 0.8:
                    sent = encode_account_chunk(
                        feed.next_chunk(ledger.page(feed.seq, 4, feed.removed_after_seq), ledger.seq)
                    )
                    got = decode_account_chunk(wire.decode_response(sent))
                    if rng.random() < 0.1:
                        feed = None
                        break
                    rows = taker.receive(got)
                    if rows is not None:
                        copy.replicate(got.epoch, rows[0], got.seq, rows[1], 0)
                        taker.commit(got)
                        assert state(copy) in past  # never half a change
                    feed.acknowledge(got.seq)
            feed = feed or AccountSender(ledger.epoch, ledger.seq, ledger.tombstone_floor(), taker.epoch, taker.seq)
            if feed.awaits_acknowledgement:
                taker.discard_staged()
                feed = AccountSender(ledger.epoch, ledger.seq, ledger.tombstone_floor(), taker.epoch, taker.seq)
            while feed.needs_chunk(ledger.seq, ledger.tombstone_floor()):
                got = feed.next_chunk(ledger.page(feed.seq, 4, feed.removed_after_seq), ledger.seq)
                rows = taker.receive(got)
                if rows is not None:
                    copy.replicate(got.epoch, rows[0], got.seq, rows[1], 0)
                    taker.commit(got)
                feed.acknowledge(got.seq)
            assert state(copy) == state(ledger) and copy.epoch == ledger.epoch
            ledger.close()
            copy.close()
    finally:
        feed_module.CHUNK_ROWS = part
