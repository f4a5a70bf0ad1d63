"""``python -m hophinge.head.adapter`` runs independent schedulers for a simulator, over its line protocol on stdio."""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from typing import TextIO

from hophinge.core import interface as api
from hophinge.core.choice import Scheduler
from hophinge.core.settings import REPORT_FIELDS, read_settings

PHASES = {"on": api.Phase.ON, "fading": api.Phase.DRAINING, "off": api.Phase.GONE}
KINDS = {
    "Partial": api.ListKind.CHANGES,
    "Complete": api.ListKind.FULL,
    "Persisted": api.ListKind.SAVED,
    "Error": api.ListKind.ERROR,
}
RESULTS = {
    "done": api.Result.OK,
    "err": api.Result.ERROR,
    "busy": api.Result.FULL,
    "etimedout": api.Result.TIMEOUT,
    "econnrefused": api.Result.CONNECT_FAILED,
    "econnreset": api.Result.RESET,
    "ecanceled": api.Result.CANCELLED,
    "skipped": api.Result.MOOT,
}


class WireError(Exception):
    """A line that violates the protocol."""


def parse_integer(text: str) -> int:
    """Parse an integer; `-` stands for 0."""
    return 0 if text == "-" else int(text)


def parse_number(text: str) -> float:
    """Parse a number; `-` stands for 0."""
    return 0.0 if text == "-" else float(text)


def parse_report(text: str) -> Mapping[str, float]:
    """Parse a node's load report; known fields get the interface's names, unknown ones keep theirs."""
    if text == "-":
        return {}
    pairs = (item.split(":", 1) for item in text.split(","))
    return {REPORT_FIELDS.get(name, name): float(value) for name, value in pairs}


def parse_entry(line: str) -> api.NodeEntry:
    """Parse one line of a node list."""
    word, node, zone, kind, shard, phase, units, since = line.split("\t")
    if word != "node":
        raise WireError("the list has fewer entries than its line states")
    return api.NodeEntry(
        node,
        parse_integer(zone),
        parse_integer(shard),
        PHASES[phase],
        parse_number(units),
        parse_integer(since),
        parse_integer(kind),
    )


def parse_arrival(fields: list[str]) -> api.Event:
    """Parse the fields of an `inbound` event."""
    return api.Arrival(
        request=fields[0],
        units=parse_number(fields[1]),
        volume=fields[2],
        klass=parse_integer(fields[3]),
        shard=int(parse_number(fields[4])),
        gateways=int(parse_number(fields[5])),
        key="" if fields[6] == "-" else fields[6],
        time_left_us=parse_integer(fields[7]),
        write=fields[8] == "1",
        plan=parse_integer(fields[10]),
    )


def parse_outcome(fields: list[str]) -> api.Event:
    """Parse the fields of a `completed` event."""
    return api.Outcome(
        request=fields[0],
        attempt=parse_integer(fields[1]),
        node=fields[2],
        result=RESULTS[fields[3]],
        elapsed_us=parse_integer(fields[4]),
        finished=fields[5] == "1",
        used=parse_integer(fields[6]),
        elsewhere=parse_number(fields[7]),
        report=parse_report(fields[8]),
    )


EVENTS: dict[str, Callable[[list[str]], api.Event]] = {
    "inbound": parse_arrival,
    "completed": parse_outcome,
    "first_byte": lambda fields: api.StreamStarted(fields[0], parse_integer(fields[1])),
    "client_left": lambda fields: api.Departure(fields[0]),
    "ping_result": lambda fields: api.ProbeResult(
        fields[0], RESULTS[fields[1]], parse_integer(fields[2]), parse_report(fields[3])
    ),
    "ring": lambda fields: api.TimerExpired(parse_integer(fields[0])),
}


def format_action(action: api.Action) -> str:
    """Format one action as a line of the reply."""
    match action:
        case api.Send(request, node, give_up_us):
            return f"try\t{request}\t{give_up_us}\t{node}"
        case api.Cancel(request, attempt):
            return f"call_off\t{request}\t{attempt}"
        case api.Refuse(request, retry_after_us):
            return f"not_now\t{request}\t{retry_after_us}"
        case api.Fail(request):
            return f"respond_error\t{request}"
        case api.Probe(node):
            return f"ask_load\t{node}"
        case api.SetTimer(token, delay_us):
            return f"schedule\t{token}\t{delay_us}"
        case api.Watch():
            return "observe\t1"
        case api.Log(text):
            return f"write_log\t{text}"


class Batch:
    """One batch: events, collected for one scheduler instance at a time, and the resulting actions by instance."""

    def __init__(self, schedulers: dict[int, Scheduler], now_us: int) -> None:
        self.schedulers = schedulers
        self.now_us = now_us
        self.actions: dict[int, list[api.Action]] = {}
        self.pending: list[api.Event] = []
        self.instance = -1

    def flush(self) -> None:
        """Pass the collected events to their instance; raises WireError if it has not been started."""
        if not self.pending:
            return
        if self.instance not in self.schedulers:
            raise WireError(f"an event for instance {self.instance}, which has not been started")
        actions = self.schedulers[self.instance].handle(self.now_us, self.pending)
        self.actions.setdefault(self.instance, []).extend(actions)
        self.pending.clear()

    def select(self, instance: int) -> None:
        """Select the instance that the next events are for."""
        self.flush()
        self.instance = instance

    def start(self, seed: int, settings: api.Settings) -> None:
        """Start the selected instance."""
        self.flush()
        self.schedulers[self.instance] = Scheduler(settings, seed)

    def kill(self) -> None:
        """Kill the selected instance and discard its events and actions of this batch."""
        self.pending.clear()
        self.actions.pop(self.instance, None)
        self.schedulers.pop(self.instance, None)


class SchedulerHost:
    """Independent schedulers by instance number, and the node lists registered for all of them."""

    def __init__(self) -> None:
        self.schedulers: dict[int, Scheduler] = {}
        self.lists: dict[int, tuple[api.NodeEntry, ...]] = {}

    def reply(self, now_us: int, lines: list[str]) -> list[str]:
        """Return the reply to one batch, which is given without its first and last line; raises WireError."""
        batch = Batch(self.schedulers, now_us)
        index = 0
        while index < len(lines):
            line = lines[index]
            try:
                index = self._apply(batch, lines, index)
            except Exception as error:  # any error of a malformed line is reported with the line
                raise WireError(f"line {line[:120]!r}: {type(error).__name__}: {error}") from error
        batch.flush()
        actions_by_instance = batch.actions
        return [
            line
            for instance, actions in actions_by_instance.items()
            if actions
            for line in (f"by\t{instance}", *map(format_action, actions))
        ]

    def _apply(self, batch: Batch, lines: list[str], index: int) -> int:
        """Apply the line at an index and the entries that follow it; returns the index of the next line."""
        word, *fields = lines[index].split("\t")
        if word == "on":
            batch.select(int(fields[0]))
        elif word == "start":
            batch.start(int(fields[0]), read_settings("\t".join(fields[1:])))
        elif word == "halt":
            batch.kill()
        elif word == "register":
            count = int(fields[1])
            self.lists[int(fields[0])] = tuple(map(parse_entry, lines[index + 1 : index + 1 + count]))
            return index + 1 + count
        elif word == "view":
            kind = KINDS[fields[0]]
            entries = () if kind is api.ListKind.ERROR else self.lists[int(fields[2])]
            batch.pending.append(api.NodeList(kind, entries))
        elif word in EVENTS:
            batch.pending.append(EVENTS[word](fields))
        elif word != "heard":
            raise WireError("an unknown event")
        return index + 1


def serve(source: TextIO, sink: TextIO) -> int:
    """Reply to batches until the input ends; returns the exit status, 1 after a protocol error."""
    host = SchedulerHost()
    lines: list[str] = []
    clock: int | None = None
    for raw in source:
        line = raw.rstrip("\n")
        try:
            if clock is None:
                word, _, text = line.partition("\t")
                if word != "turn":
                    raise WireError(f"line {line[:120]!r}: a batch must begin with its clock")
                clock = int(text)
                continue
            if line != "eof_batch":
                lines.append(line)
                continue
            reply = host.reply(clock, lines)
        except Exception as error:
            text = f"{type(error).__name__}: {error}".replace("\n", " ").replace("\t", " ")
            print(text, file=sys.stderr, flush=True)
            sink.write(f"broken\t{text}\ndone\n")
            sink.flush()
            return 1
        lines, clock = [], None
        sink.write("".join(f"{text}\n" for text in reply) + "done\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
