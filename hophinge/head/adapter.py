"""The wire adapter: ``python -m hophinge.head.adapter`` hosts independent schedulers on the simulator's wire."""

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
    """A line that the wire's page does not allow."""


def whole(text: str) -> int:
    """Read a whole number; an absent one is 0."""
    return 0 if text == "-" else int(text)


def number(text: str) -> float:
    """Read a number; an absent one is 0."""
    return 0.0 if text == "-" else float(text)


def report(text: str) -> Mapping[str, float]:
    """Read a node's load report under the interface's names; unknown values keep theirs."""
    if text == "-":
        return {}
    pairs = (item.split(":", 1) for item in text.split(","))
    return {REPORT_FIELDS.get(name, name): float(value) for name, value in pairs}


def entry(line: str) -> api.NodeEntry:
    """Translate one line of a node list."""
    word, node, zone, kind, shard, phase, units, since = line.split("\t")
    if word != "node":
        raise WireError("a list is shorter than it said")
    return api.NodeEntry(node, whole(zone), whole(shard), PHASES[phase], number(units), whole(since), whole(kind))


def arrival(part: list[str]) -> api.Event:
    """Translate `inbound`."""
    return api.Arrival(
        request=part[0],
        units=number(part[1]),
        volume=part[2],
        klass=whole(part[3]),
        shard=int(number(part[4])),
        gateways=int(number(part[5])),
        key="" if part[6] == "-" else part[6],
        time_left_us=whole(part[7]),
        write=part[8] == "1",
        plan=whole(part[10]),
    )


def outcome(part: list[str]) -> api.Event:
    """Translate `completed`."""
    return api.Outcome(
        request=part[0],
        attempt=whole(part[1]),
        node=part[2],
        result=RESULTS[part[3]],
        elapsed_us=whole(part[4]),
        finished=part[5] == "1",
        used=whole(part[6]),
        elsewhere=number(part[7]),
        report=report(part[8]),
    )


EVENTS: dict[str, Callable[[list[str]], api.Event]] = {
    "inbound": arrival,
    "completed": outcome,
    "first_byte": lambda part: api.StreamStarted(part[0], whole(part[1])),
    "client_left": lambda part: api.Departure(part[0]),
    "ping_result": lambda part: api.ProbeResult(part[0], RESULTS[part[1]], whole(part[2]), report(part[3])),
    "ring": lambda part: api.TimerExpired(whole(part[0])),
}


def action_line(action: api.Action) -> str:
    """Format one action."""
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


class Host:
    """Independent schedulers by instance number, and the process-wide lists of the wire."""

    def __init__(self) -> None:
        self.schedulers: dict[int, Scheduler] = {}
        self.lists: dict[int, tuple[api.NodeEntry, ...]] = {}

    def reply(self, now_us: int, lines: list[str]) -> list[str]:
        """Answer one batch, given without its first and last line."""
        out: dict[int, list[api.Action]] = {}
        pending: list[api.Event] = []
        who = -1
        at = 0

        def settle() -> None:
            if pending:
                if who not in self.schedulers:
                    raise WireError(f"an event for instance {who}, which has not started")
                out.setdefault(who, []).extend(self.schedulers[who].handle(now_us, pending))
                pending.clear()

        while at < len(lines):
            line = lines[at]
            at += 1
            try:
                word, *part = line.split("\t")
                if word == "on":
                    settle()
                    who = int(part[0])
                elif word == "start":
                    settle()
                    self.schedulers[who] = Scheduler(read_settings("\t".join(part[1:])), int(part[0]))
                elif word == "halt":
                    pending.clear()
                    out.pop(who, None)  # all that the killed instance would have done is void
                    self.schedulers.pop(who, None)
                elif word == "register":
                    count = int(part[1])
                    self.lists[int(part[0])] = tuple(map(entry, lines[at : at + count]))
                    at += count
                elif word == "view":
                    kind = KINDS[part[0]]
                    entries = () if kind is api.ListKind.ERROR else self.lists[int(part[2])]
                    pending.append(api.NodeList(kind, entries))
                elif word in EVENTS:
                    pending.append(EVENTS[word](part))
                elif word != "heard":
                    raise WireError("an unknown event")
            except Exception as error:
                raise WireError(f"line {line[:120]!r}: {type(error).__name__}: {error}") from error
        settle()
        return [
            line for number, actions in out.items() if actions for line in (f"by\t{number}", *map(action_line, actions))
        ]


def serve(source: TextIO, sink: TextIO) -> int:
    """Answer batches until the input ends."""
    host = Host()
    lines: list[str] = []
    clock: int | None = None
    for raw in source:
        line = raw.rstrip("\n")
        try:
            if clock is None:
                word, _, text = line.partition("\t")
                if word != "turn":
                    raise WireError(f"line {line[:120]!r}: a batch begins with its clock")
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
