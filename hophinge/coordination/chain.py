"""One replica's part of the chain: writes come from the predecessor, go to the successor, the tail replies.

What the parts of a view rest on:
 - `synced` is the newest view in which this replica took over its predecessor's history. The predecessors of a replica
   synced in a view are synced in it, and each holds at least what its successor holds.
 - An entry is committed once the tail holds it, and the tail counts only in a chain of `required` replicas or more.
 - A replica may head the next view if it is *complete*: synced in a view since it came to its place without a gap.
   What was acknowledged since has passed it, as it is in every chain since.
"""

from __future__ import annotations

from hophinge.coordination.messages import (
    Committed,
    EntryRecord,
    Forward,
    Heartbeat,
    RequestOrigin,
    Reply,
    Submit,
    Sync,
    SyncedRecord,
)
from hophinge.coordination.events import Outputs, CommittedValue
from hophinge.coordination.registers import HistoryEntry, Outcome, Register, Registers
from hophinge.coordination.view import Replica, View

SYNC_RETRY_INTERVAL_S = 0.3  # a successor that lags is sent the whole state again after so long at least
SYNC_BYTES_PER_S = 4 << 20  # and later by the time that its bytes take at this rate, the first time
MAX_SYNC_BACKOFF_DOUBLINGS = 5  # of that wait, each time that the successor still lags: so any link has time for a copy


class ChainReplica:
    """The replicated history at one replica, and its place in the view's chain."""

    def __init__(self, me: Replica, required: int) -> None:
        self.me, self.min_chain_length = me, required
        self.registers = Registers()
        self.synced_view = 0
        self.view: View | None = None
        self.committed_sequence = 0  # known for the view in force, and for this replica's own history
        self.published_sequence = 0
        self.published_registers: dict[str, Register] = {}
        self.unpublished_history: list[tuple[int, dict[str, Register]]] = []  # states not yet known to be committed
        self.sync_sent_at = float("-inf")
        self.consecutive_syncs = 0  # times that the successor was sent the state since it last lagged not

    # --- place ---------------------------------------------------------------------------------------------------

    @property
    def is_serving(self) -> bool:
        """Tell whether this replica holds its predecessor's history in the view in force."""
        view = self.view
        return view is not None and view.position(self.me.identity) >= 0 and self.synced_view == view.number

    @property
    def is_head(self) -> bool:
        """Tell whether writes enter here."""
        return self.is_serving and self.view is not None and self.view.position(self.me.identity) == 0

    def _successor(self) -> Replica | None:
        return self.view.neighbour(self.me.identity, 1) if self.view is not None else None

    def _predecessor(self) -> Replica | None:
        return self.view.neighbour(self.me.identity, -1) if self.view is not None else None

    def _tolerates_losses(self) -> bool:
        """Tell whether the chain is long enough that what the tail holds outlives the losses to be borne."""
        return self.view is not None and len(self.view.chain) >= self.min_chain_length

    # --- changes of view -----------------------------------------------------------------------------------------

    def enter_view(self, now: float, view: View, outputs: Outputs) -> None:
        """Go on in a new view."""
        self.view = view
        self.committed_sequence = self.consecutive_syncs = 0
        position = view.position(self.me.identity)
        if position < 0:
            return
        complete = view.number == 1 or self.synced_view >= view.chain[position].joined_view
        if (position == 0 and complete) or view.number == 1:
            self._record_sync(view.number, None, outputs)
        if self.is_serving:
            self._sync_successor(now, outputs)

    def resume(self, view: View | None) -> None:
        """Go on after a restart with what the disk held."""
        self.view = view
        self._record_history()

    def commit_after_restart(self, outputs: Outputs) -> None:
        """As the tail after a restart: what it holds has passed the whole chain, whatever view is in force by now."""
        if self.is_serving and self._successor() is None:
            self._commit(self.registers.sequence, outputs)

    def _record_sync(self, number: int, sync: Sync | None, outputs: Outputs) -> None:
        self.synced_view = number
        outputs.records.append(SyncedRecord(number, sync.snapshot if sync is not None else None))
        self.unpublished_history = []
        self._record_history()

    def _sync_successor(self, now: float, outputs: Outputs) -> None:
        """Give the successor the whole history; the tail has nobody left to give it to, so it is committed."""
        successor = self._successor()
        if successor is not None:
            self.sync_sent_at = now
            self.consecutive_syncs += 1
            outputs.messages.append((successor.address, Sync(self.synced_view, self.registers.snapshot())))
        else:
            self._commit(self.registers.sequence, outputs)

    def handle_sync(self, now: float, source: Replica, sync: Sync, outputs: Outputs) -> None:
        """Take over the predecessor's history."""
        view, predecessor = self.view, self._predecessor()
        if view is None or sync.view != view.number or predecessor is None or predecessor.identity != source.identity:
            return
        registers = self.registers
        is_same_history = (
            sync.snapshot.sequence < registers.sequence or sync.snapshot.history_digest == registers.history_digest
        )
        if self.synced_view == view.number and sync.snapshot.sequence <= registers.sequence and is_same_history:
            return
        self.registers.restore(sync.snapshot)
        self._record_sync(view.number, sync, outputs)
        self._sync_successor(now, outputs)

    def handle_successor_heartbeat(self, now: float, source: Replica, heartbeat: Heartbeat, outputs: Outputs) -> None:
        """Send the history again to a successor that lags or differs: messages are lost, and copies may go bad."""
        successor = self._successor()
        if not self.is_serving or successor is None or successor.identity != source.identity:
            return
        differs = (
            heartbeat.sequence == self.registers.sequence and heartbeat.history_digest != self.registers.history_digest
        )
        if heartbeat.synced_view >= self.synced_view and heartbeat.sequence >= self.registers.sequence and not differs:
            self.consecutive_syncs = 0
        elif now - self.sync_sent_at >= self._sync_retry_interval_s():
            if differs:
                outputs.log_lines.append(
                    f"scrub: {source.address} holds another history of {heartbeat.sequence} changes"
                )
            self._sync_successor(now, outputs)

    def _sync_retry_interval_s(self) -> float:
        """Tell how long a copy of the state may be under way before it is sent again, in seconds.

        A copy that is sent anew before the last one has arrived puts a slow link further behind with each.
        """
        base_interval_s = SYNC_RETRY_INTERVAL_S + self.registers.estimated_bytes / SYNC_BYTES_PER_S
        return base_interval_s * float(2 ** min(max(0, self.consecutive_syncs - 1), MAX_SYNC_BACKOFF_DOUBLINGS))

    # --- changes and reads ---------------------------------------------------------------------------------------

    def handle_submit(self, submit: Submit, outputs: Outputs) -> None:
        """Judge a change at the head. What is refused goes down the chain as well: an old head may be out of date."""
        if not self.is_head or not self._tolerates_losses():
            return
        change = submit.change
        outcome = Outcome.VALUE if change is None else self.registers.evaluate(change)
        if change is not None and outcome is None:
            entry = HistoryEntry(self.registers.sequence + 1, change)
            self._apply(entry, outputs)
            self._forward_to_successor(submit.origin, submit.key, Outcome.APPLIED, entry, outputs)
        elif outcome is not None:
            self._forward_to_successor(submit.origin, submit.key, outcome, None, outputs)

    def handle_forward(self, source: Replica, forward: Forward, outputs: Outputs) -> None:
        """Apply an entry forwarded by the predecessor, in the order of the history, and forward it to the successor."""
        predecessor = self._predecessor()
        if not self.is_serving or forward.view != self.synced_view or predecessor is None:
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
        """Pass on to the successor; the tail replies to the member that was asked."""
        successor = self._successor()
        if successor is not None:
            sequence = entry.sequence if entry is not None else self.registers.sequence
            forward = Forward(self.synced_view, sequence, origin, key, int(outcome), entry)
            outputs.messages.append((successor.address, forward))
        elif self._tolerates_losses():
            self._commit(self.registers.sequence, outputs)
            register = self.registers.current(key)
            payload = register.payload if outcome is Outcome.VALUE else b""
            reply = Reply(origin.request_id, int(outcome), register.version, payload)
            outputs.messages.append((origin.replica.address, reply))

    # --- commitment ----------------------------------------------------------------------------------------------

    def _commit(self, sequence: int, outputs: Outputs) -> None:
        """As the tail: everything held is committed."""
        if not self._tolerates_losses() or self.view is None or sequence <= self.committed_sequence:
            return
        committed = Committed(self.view.number, sequence)
        others = [voter for voter in self.view.voters if voter.identity != self.me.identity]
        outputs.messages += [(voter.address, committed) for voter in others]
        self.learn_committed(self.view.number, sequence, outputs)

    def learn_committed(self, view: int, sequence: int, outputs: Outputs) -> None:
        """Take note of what is committed; it is published where this replica's history is the chain's."""
        if not self.is_serving or view != self.synced_view or sequence <= self.committed_sequence:
            return
        self.committed_sequence = sequence
        self._publish(outputs)

    def _record_history(self) -> None:
        self.unpublished_history.append((self.registers.sequence, self.registers.values))

    def _publish(self, outputs: Outputs) -> None:
        """Publish the newest state that is committed; never one older than before."""
        covered = [state for state in self.unpublished_history if state[0] <= self.committed_sequence]
        if not covered:
            return
        sequence, values = covered[-1]
        self.unpublished_history = [state for state in self.unpublished_history if state[0] >= sequence]
        if sequence <= self.published_sequence:
            return
        self.published_sequence = sequence
        for key, register in values.items():
            if self.published_registers.get(key) != register:
                outputs.committed_values.append(CommittedValue(key, sequence, register))
        self.published_registers = values
