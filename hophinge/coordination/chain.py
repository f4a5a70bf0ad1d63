"""One replica's side of chain replication: writes come from the predecessor, go to the successor, and the tail replies.

After R. van Renesse and F. Schneider, "Chain Replication for Supporting High Throughput and Availability" (OSDI 2004).
What the code relies on:
 - `synced_view` is the newest view in which this replica took over its predecessor's history. The predecessors of a
   replica synced in a view are synced in it, and the history of each contains that of its successor.
 - An entry is committed once the tail has it, and the tail counts only in a chain of `min_chain_length` or more.
 - A replica may head the next view if it is *complete*: synced in a view since it joined the chain without a gap.
   What was acknowledged since then has passed it, as it has passed every chain since.
"""

from __future__ import annotations

from typing import NamedTuple

from hophinge.coordination.events import CommittedValue, Outputs
from hophinge.coordination.messages import (
    Committed,
    EntryRecord,
    Forward,
    Heartbeat,
    Reply,
    RequestOrigin,
    Submit,
    Sync,
    SyncedRecord,
)
from hophinge.coordination.registers import Change, HistoryEntry, Outcome, Register, Registers
from hophinge.coordination.view import Replica, View

SYNC_RETRY_INTERVAL_S = 0.3  # the shortest time after which a lagging successor is sent the complete state again
SYNC_BYTES_PER_S = 4 << 20  # that time grows by what the state takes at this rate
MAX_SYNC_BACKOFF_DOUBLINGS = 5  # of that time, once for each further try: so any link has time for a copy


class HistoryPoint(NamedTuple):
    """The registers after the entry `sequence` of the history."""

    sequence: int
    registers: dict[str, Register]


class ChainReplica:
    """The replicated history at one replica, and its position in the chain of the view."""

    def __init__(self, me: Replica, min_chain_length: int) -> None:
        self.me = me
        self.min_chain_length = min_chain_length
        self.registers = Registers()
        self.synced_view = 0
        self.view: View | None = None
        self.committed_sequence = 0  # in the view in force, and of this replica's own history
        self.published_sequence = 0
        self.published_registers: dict[str, Register] = {}
        self.unpublished_history: list[HistoryPoint] = []
        self.sync_sent_at = float("-inf")
        self.consecutive_syncs = 0  # sent to the successor since it last had the complete history

    # --- position in the chain -----------------------------------------------------------------------------------

    @property
    def is_serving(self) -> bool:
        """Whether this replica has its predecessor's history in the view in force."""
        view = self.view
        return view is not None and view.position(self.me.identity) >= 0 and self.synced_view == view.number

    @property
    def is_head(self) -> bool:
        """Whether writes enter the chain here."""
        return self.is_serving and self.view is not None and self.view.position(self.me.identity) == 0

    def _successor(self) -> Replica | None:
        return self.view.neighbour(self.me.identity, 1) if self.view is not None else None

    def _predecessor(self) -> Replica | None:
        return self.view.neighbour(self.me.identity, -1) if self.view is not None else None

    def _tolerates_losses(self) -> bool:
        """Return whether the chain is so long that what its tail has survives the tolerated losses."""
        return self.view is not None and len(self.view.chain) >= self.min_chain_length

    # --- changes of view -----------------------------------------------------------------------------------------

    def enter_view(self, now: float, view: View, outputs: Outputs) -> None:
        """Take the position that this replica has in a new view."""
        self.view = view
        self.committed_sequence = 0
        self.consecutive_syncs = 0
        position = view.position(self.me.identity)
        if position < 0:
            return
        complete = view.number == 1 or self.synced_view >= view.chain[position].joined_view
        if (position == 0 and complete) or view.number == 1:
            self._record_sync(view.number, None, outputs)
        if self.is_serving:
            self._sync_successor(now, outputs)

    def resume(self, view: View | None) -> None:
        """Resume after a restart, with the registers that were restored from the disk."""
        self.view = view
        self._record_history()

    def commit_after_restart(self, outputs: Outputs) -> None:
        """Commit the history of a restarted tail: it has passed the whole chain, whichever view is in force by now."""
        if self.is_serving and self._successor() is None:
            self._commit(self.registers.sequence, outputs)

    def _record_sync(self, view_number: int, sync: Sync | None, outputs: Outputs) -> None:
        self.synced_view = view_number
        outputs.records.append(SyncedRecord(view_number, sync.snapshot if sync is not None else None))
        self.unpublished_history = []
        self._record_history()

    def _sync_successor(self, now: float, outputs: Outputs) -> None:
        """Send the complete history to the successor; the tail has none, so its history is committed."""
        successor = self._successor()
        if successor is not None:
            self.sync_sent_at = now
            self.consecutive_syncs += 1
            outputs.send(successor.address, Sync(self.synced_view, self.registers.snapshot()))
        else:
            self._commit(self.registers.sequence, outputs)

    def handle_sync(self, now: float, source: Replica, sync: Sync, outputs: Outputs) -> None:
        """Take over the predecessor's history, unless this replica has it already."""
        view = self.view
        predecessor = self._predecessor()
        if view is None or sync.view_number != view.number:
            return
        if predecessor is None or predecessor.identity != source.identity:
            return
        if self.synced_view == view.number and self._contains(sync):
            return
        self.registers.restore(sync.snapshot)
        self._record_sync(view.number, sync, outputs)
        self._sync_successor(now, outputs)

    def _contains(self, sync: Sync) -> bool:
        """Return whether this replica's history contains that of a snapshot."""
        sequence = sync.snapshot.sequence
        if sequence == self.registers.sequence:
            return sync.snapshot.history_digest == self.registers.history_digest
        return sequence < self.registers.sequence

    def handle_successor_heartbeat(self, now: float, source: Replica, heartbeat: Heartbeat, outputs: Outputs) -> None:
        """Sync a successor that lags or differs: messages are lost, and the bytes of a copy may decay."""
        successor = self._successor()
        if not self.is_serving or successor is None or successor.identity != source.identity:
            return
        is_same_length = heartbeat.sequence == self.registers.sequence
        differs = is_same_length and heartbeat.history_digest != self.registers.history_digest
        if heartbeat.synced_view >= self.synced_view and heartbeat.sequence >= self.registers.sequence and not differs:
            self.consecutive_syncs = 0
        elif now - self.sync_sent_at >= self._sync_retry_interval_s():
            if differs:
                outputs.log_lines.append(
                    f"scrub: {source.address} holds another history of {heartbeat.sequence} changes"
                )
            self._sync_successor(now, outputs)

    def _sync_retry_interval_s(self) -> float:
        """Return how long a copy of the state may be in flight before it is sent again.

        A copy that is sent again before the last one has arrived puts a slow link further behind with each.
        """
        base_interval_s = SYNC_RETRY_INTERVAL_S + self.registers.estimated_bytes / SYNC_BYTES_PER_S
        return base_interval_s * float(2 ** min(max(0, self.consecutive_syncs - 1), MAX_SYNC_BACKOFF_DOUBLINGS))

    # --- changes and reads ---------------------------------------------------------------------------------------

    def handle_submit(self, submit: Submit, outputs: Outputs) -> None:
        """Evaluate a change or a read at the head.

        A rejection goes down the chain as well: the head of an old view may be out of date. A change whose base is
        still to come has no outcome yet, since a later copy of it may be applied; its origin submits it again.
        """
        if not self.is_head or not self._tolerates_losses():
            return
        change = submit.change
        if change is not None and self.registers.awaits_base(change):
            outputs.log_lines.append(self._describe_evaluation(submit.origin, change, "BASE_MISSING"))
            return
        outcome = Outcome.VALUE if change is None else self.registers.evaluate(change)
        if change is not None:
            outcome_name = outcome.name if outcome is not None else "NEW"
            outputs.log_lines.append(self._describe_evaluation(submit.origin, change, outcome_name))
        if change is not None and outcome is None:
            entry = HistoryEntry(self.registers.sequence + 1, change)
            self._apply(entry, outputs)
            self._forward_to_successor(submit.origin, submit.key, Outcome.APPLIED, entry, outputs)
        elif outcome is not None:
            self._forward_to_successor(submit.origin, submit.key, outcome, None, outputs)

    def _describe_evaluation(self, origin: RequestOrigin, change: Change, outcome_name: str) -> str:
        current_version = self.registers.current(change.key).version
        return (
            f"change evaluated key={change.key} base={change.base} version={change.version} current={current_version} "
            f"outcome={outcome_name} origin={origin.replica.address} request={origin.request_id}"
        )

    def handle_forward(self, source: Replica, forward: Forward, outputs: Outputs) -> None:
        """Apply an entry forwarded by the predecessor, in the order of the history, and forward it in turn."""
        predecessor = self._predecessor()
        if not self.is_serving or forward.view_number != self.synced_view or predecessor is None:
            return
        if predecessor.identity != source.identity:
            return
        entry = forward.entry
        if entry is not None and entry.sequence == self.registers.sequence + 1:
            self._apply(entry, outputs)
        if forward.sequence <= self.registers.sequence:
            self._forward_to_successor(forward.origin, forward.key, Outcome(forward.outcome), entry, outputs)

    def _apply(self, entry: HistoryEntry, outputs: Outputs) -> None:
        self.registers.apply(entry)
        outputs.records.append(EntryRecord(entry))
        self._record_history()

    def _forward_to_successor(
        self, origin: RequestOrigin, key: str, outcome: Outcome, entry: HistoryEntry | None, outputs: Outputs
    ) -> None:
        """Forward an outcome to the successor; the tail replies to the replica that received the request."""
        successor = self._successor()
        if successor is not None:
            sequence = entry.sequence if entry is not None else self.registers.sequence
            forward = Forward(self.synced_view, sequence, origin, key, int(outcome), entry)
            outputs.send(successor.address, forward)
        elif self._tolerates_losses():
            self._commit(self.registers.sequence, outputs)
            register = self.registers.current(key)
            payload = register.payload if outcome is Outcome.VALUE else b""
            outputs.send(origin.replica.address, Reply(origin.request_id, int(outcome), register.version, payload))

    # --- commitment ----------------------------------------------------------------------------------------------

    def _commit(self, sequence: int, outputs: Outputs) -> None:
        """Commit the history of the tail up to a sequence, and notify the other voters."""
        if not self._tolerates_losses() or self.view is None or sequence <= self.committed_sequence:
            return
        committed = Committed(self.view.number, sequence)
        for voter in self.view.voters:
            if voter.identity != self.me.identity:
                outputs.send(voter.address, committed)
        self.learn_committed(self.view.number, sequence, outputs)

    def learn_committed(self, view_number: int, sequence: int, outputs: Outputs) -> None:
        """Record what is committed, and publish it where this replica's history is the chain's."""
        if not self.is_serving or view_number != self.synced_view or sequence <= self.committed_sequence:
            return
        self.committed_sequence = sequence
        self._publish(outputs)

    def _record_history(self) -> None:
        self.unpublished_history.append(HistoryPoint(self.registers.sequence, self.registers.values))

    def _publish(self, outputs: Outputs) -> None:
        """Publish the newest committed registers; never older ones than before."""
        committed = [point for point in self.unpublished_history if point.sequence <= self.committed_sequence]
        if not committed:
            return
        newest = committed[-1]
        self.unpublished_history = [point for point in self.unpublished_history if point.sequence >= newest.sequence]
        if newest.sequence <= self.published_sequence:
            return
        self.published_sequence = newest.sequence
        for key, register in newest.registers.items():
            if self.published_registers.get(key) != register:
                outputs.committed_values.append(CommittedValue(key, newest.sequence, register))
        self.published_registers = newest.registers
