"""Tests of account replication without sockets: both sides over a connection that breaks."""

from __future__ import annotations

from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control import wire
from hophinge.control.account_wire import decode_account_chunk, encode_account_chunk
from hophinge.state.rows import Row
from hophinge.tenancy import account_replication
from hophinge.tenancy.account_replication import AccountReceiver, AccountSender
from tests import books


@settings(max_examples=80)
@given(st.integers(0, 2**32))
def test_replicas_over_a_connection_that_breaks_off_end_with_the_same_rows(seed: int) -> None:
    import random
    import tempfile

    from hophinge.state.ledger import Ledger

    rng = random.Random(seed)
    chunk_rows, account_replication.CHUNK_ROWS = account_replication.CHUNK_ROWS, 4
    try:
        with tempfile.TemporaryDirectory() as folder:
            ledger, replica = Ledger(Path(folder) / "a.db"), Ledger(Path(folder) / "b.db")
            receiver, sender = AccountReceiver(replica.epoch, replica.seq), None

            def state(of_ledger: Ledger) -> dict[tuple[str, str], bytes | None]:
                return {(row.kind, row.name): row.body for row in of_ledger.rows()}

            past_states = [state(ledger)]
            for step in range(rng.randrange(5, 40)):
                is_final_phase = step > 30
                if rng.random() < 0.5:
                    names = {f"n{rng.randrange(20)}" for _ in range(rng.randrange(1, 9))}
                    books.write(
                        ledger, *(Row("k", name, rng.randbytes(2) if rng.random() < 0.7 else None) for name in names)
                    )
                    past_states.append(state(ledger))
                    if rng.random() < 0.2:
                        ledger.db.execute("DELETE FROM row WHERE body IS NULL")
                        ledger.db.execute("UPDATE meta SET floor = ?", (ledger.seq,))
                # A new stream begins; the chunk in flight is lost.
                if sender is None or (rng.random() < 0.2 and not is_final_phase):
                    if rng.random() < 0.3:  # the head restarts as well
                        replica.close()
                        replica = Ledger(Path(folder) / "b.db")
                        receiver = AccountReceiver(replica.epoch, replica.seq)
                    receiver.discard_staged()
                    sender = AccountSender(
                        ledger.epoch, ledger.seq, ledger.tombstone_floor(), receiver.epoch, receiver.seq
                    )
                while sender.needs_chunk(ledger.seq, ledger.tombstone_floor()) and rng.random() < 0.8:
                    encoded = encode_account_chunk(
                        sender.next_chunk(ledger.page(sender.seq, 4, sender.removed_after_seq), ledger.seq)
                    )
                    chunk = decode_account_chunk(wire.decode_response(encoded))
                    if rng.random() < 0.1:
                        sender = None
                        break
                    rows = receiver.receive(chunk)
                    if rows is not None:
                        replica.replicate(chunk.epoch, rows.rows, chunk.seq, rows.replaces_all, 0)
                        receiver.commit(chunk)
                        assert state(replica) in past_states  # never only a part of a change
                    sender.acknowledge(chunk.seq)
            sender = sender or AccountSender(
                ledger.epoch, ledger.seq, ledger.tombstone_floor(), receiver.epoch, receiver.seq
            )
            if sender.awaits_acknowledgement:
                receiver.discard_staged()
                sender = AccountSender(ledger.epoch, ledger.seq, ledger.tombstone_floor(), receiver.epoch, receiver.seq)
            while sender.needs_chunk(ledger.seq, ledger.tombstone_floor()):
                chunk = sender.next_chunk(ledger.page(sender.seq, 4, sender.removed_after_seq), ledger.seq)
                rows = receiver.receive(chunk)
                if rows is not None:
                    replica.replicate(chunk.epoch, rows.rows, chunk.seq, rows.replaces_all, 0)
                    receiver.commit(chunk)
                sender.acknowledge(chunk.seq)
            assert state(replica) == state(ledger) and replica.epoch == ledger.epoch
            ledger.close()
            replica.close()
    finally:
        account_replication.CHUNK_ROWS = chunk_rows
