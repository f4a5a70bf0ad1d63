"""The scheduler: turns the events of one moment into actions, and sets a timer for what is due next."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import replace

from hophinge.core import interface as api
from hophinge.core.choice.dispatcher import Dispatcher
from hophinge.core.choice.gateway_state import WAKEUPS_PER_TARGET, UNRESPONSIVE_AFTER


class Scheduler(Dispatcher):
    """The decisions of one gateway. It reads no clock and does no I/O."""

    def handle(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Handle the events of one moment and return the actions to perform."""
        self.now = now_us
        self.actions = []
        for event in events:
            match event:
                case api.Arrival():
                    self._arrival(event)
                case api.Outcome():
                    self._outcome(event)
                case api.NodeList():
                    self._node_list(event)
                case api.TimerExpired():
                    if self.timer_at <= now_us:
                        # After a stall of this process, nodes are not blamed for the time without answers.
                        late = self.timer_at and now_us - self.timer_at > self.target_us // WAKEUPS_PER_TARGET
                        self.timer_at = 0
                        self.resumed_at = now_us if late else self.resumed_at
                case api.Departure():
                    self._finish(event.request)
                case api.StreamStarted():
                    self._stream_started(event)
        self._watch_nodes()
        self._enqueue_hedges()
        self.changed_queues |= {queue_key: None for queue_key, due in self.recheck_at.items() if due <= now_us}
        while self.changed_queues:
            queue_keys, self.changed_queues = list(self.changed_queues), {}
            self._dispatch(queue_keys)
        self._expire()
        self._set_timer()
        return self.actions

    def replan(self, plans: tuple[api.Plan, ...]) -> None:
        """Apply changed values of the same plans; units that were used stay used."""
        self.settings = replace(self.settings, plans=plans)
        for volume in self.volumes.values():
            volume.plan = plans[volume.plan_number]
            volume.reserve.depth = volume.plan.reserve + self.settings.max_units

    def avoided(self, now: int) -> list[str]:
        """Return the listed nodes that get no requests now, in backoff or unresponsive."""
        return [
            name
            for name, node in self.nodes.items()
            if node.entry.phase is api.Phase.ON and (node.is_unresponsive or node.backoff_until > now)
        ]

    def _set_timer(self) -> None:
        """Set a timer for what is due next; a periodic tick would cost time for each gateway and node."""
        while self.deadlines and self.deadlines[0][1] not in self.requests:
            heapq.heappop(self.deadlines)
        active_at = [node.last_activity() for node in self.active_nodes.values() if not node.is_unresponsive]
        due = [
            *self.recheck_at.values(),
            *(max(self.resumed_at, at) + int(UNRESPONSIVE_AFTER * self.target_us) + 1 for at in active_at),
        ]
        due += [self.deadlines[0][0] - self.answer_lead_us] if self.deadlines else []
        due += self.hedge_times[0][:1] if self.hedge_times else ()
        if self.settings.discovery is api.Discovery.ON_REQUEST and self.next_watch_at >= 0:
            due.append(self.next_watch_at)
        if due and (not self.timer_at or min(due) < self.timer_at):
            self.timer_at = max(min(due), self.now + self.settings.tick_us)
            self.actions.append(api.SetTimer(0, self.timer_at - self.now))
