"""The plan of a load, as S-expressions: who asks for what, how often, and what goes wrong with the bricks meanwhile."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from hophinge.routing.s_expressions import Atom, Form, Mistake, Node, decode_text, parse
from hophinge.routing.document_reader import FormReader

VERSION = "1"
FAULTS = ("fail", "hang", "slow", "cold", "vanish")
MAX_RATE = 20_000.0  # requests a second of all clients together
LONGEST_S = 600.0
VOLUMES = 0x10_0000  # a client's volumes count from its place, times this


@dataclass(frozen=True)
class Client:
    """One sort of requests."""

    name: str
    klass: str
    plan: str
    rate: float  # requests a second, by Poisson's law
    units: float = 1.0
    volumes: int = 1  # that they are spread over
    write: bool = False
    remaining_us: int = 1_000_000
    aim_us: int = 200_000  # within which an answer is worth something
    worth: float = 1.0
    retries: int = 0  # of one request
    pause_us: int = 100_000  # before one, where the answer names none
    stays_us: int = 0  # its client leaves then; 0: it stays for its time
    heavy: float = 1.0  # times the work, of ...
    heavy_part: float = 0.0


@dataclass(frozen=True)
class Surge:
    """A span in which clients ask more often."""

    at_us: int
    for_us: int
    times: float
    clients: tuple[str, ...] = ()  # none: all


@dataclass(frozen=True)
class Fault:
    """What goes wrong with some bricks for a span."""

    kind: str
    at_us: int
    for_us: int
    part: float = 0.5  # of the bricks, the first ones
    share: float = 1.0  # of the requests, for fail
    times: float = 5.0  # the work, for slow


@dataclass(frozen=True)
class LoadPlan:
    """The whole plan."""

    seed: int = 1
    for_us: int = 10_000_000
    settle_us: int = 2_000_000  # at the beginning, not counted
    backends: int = 3
    slots: int = 2  # of a brick
    work_us: int = 20_000  # for a unit in a slot
    queue: int = 64  # requests that wait at a brick; beyond, it turns away
    clients: tuple[Client, ...] = ()
    surges: tuple[Surge, ...] = ()
    faults: tuple[Fault, ...] = ()

    @property
    def capacity(self) -> float:
        """Tell the units a second that the bricks do."""
        return self.backends * self.slots / (self.work_us / 1e6)

    @property
    def offered(self) -> float:
        """Tell the units a second that clients ask for, surges apart."""
        return sum(one.rate * one.units * (1 + (one.heavy - 1) * one.heavy_part) for one in self.clients)

    def at_times(self, times: float) -> LoadPlan:
        """Tell the plan with all rates so scaled that the bricks are asked for `times` what they do."""
        scale = times * self.capacity / self.offered
        return replace(self, clients=tuple(replace(one, rate=one.rate * scale) for one in self.clients))


@dataclass(frozen=True, order=True)
class Ask:
    """One first try."""

    at_us: int
    number: int
    client: int = field(compare=False)
    volume: int = field(compare=False)
    key: int = field(compare=False)
    units: float = field(compare=False)
    heavy: bool = field(compare=False)


def arrivals(plan: LoadPlan) -> list[Ask]:
    """Draw all first tries of a plan: the same for the same seed, whatever becomes of them."""
    drawn = [
        (at, client, rng)
        for place, client in enumerate(plan.clients)
        for rng in [random.Random(plan.seed * 1_000_003 + place)]
        for at in _times(plan, client, rng)
    ]
    places = {client.name: place for place, client in enumerate(plan.clients)}
    found = []
    for number, (at, client, rng) in enumerate(sorted(drawn, key=lambda row: row[0])):
        place = places[client.name]
        found.append(
            Ask(
                at,
                number,
                place,
                place * VOLUMES + rng.randrange(client.volumes),
                rng.getrandbits(64),
                client.units,
                rng.random() < client.heavy_part,
            )
        )
    return found


def _times(plan: LoadPlan, client: Client, rng: random.Random) -> Iterator[int]:
    at = 0.0
    most = max([1.0, *(surge.times for surge in plan.surges)])
    if not client.rate:
        return
    while (at := at + rng.expovariate(client.rate * most) * 1e6) < plan.for_us:
        times = max(
            [
                surge.times
                for surge in plan.surges
                if surge.at_us <= at < surge.at_us + surge.for_us
                and (not surge.clients or client.name in surge.clients)
            ],
            default=1.0,
        )
        if rng.random() < times / most:  # thinned: the same draws whatever the surges
            yield int(at)


def read(raw: bytes) -> tuple[LoadPlan, list[Mistake]]:
    """Read a plan; its mistakes stand in the result, none is raised."""
    text, mistakes = decode_text(raw)
    nodes: list[Node] = []
    if not mistakes:
        nodes, mistakes = parse(text)

    def wrong(node: Node, text: str) -> None:
        mistakes.append(Mistake(node.line, node.column, text))

    if not mistakes and (
        not nodes
        or not isinstance(nodes[0], Form)
        or nodes[0].keyword != "load"
        or [str(item) for item in nodes[0].items[1:]] != [VERSION]
    ):
        wrong(nodes[0] if nodes else Atom("", 1, 1), f"a plan begins with (load {VERSION})")
    plan, clients, surges, faults = LoadPlan(), dict[str, Client](), list[Surge](), list[Fault]()
    for node in nodes[1:]:
        if isinstance(node, Atom):
            wrong(node, f"{node.text!r} stands outside of any form; put it into one or remove it")
            continue
        part = FormReader(node, wrong)
        if node.keyword == "run":
            plan = _run(part)
        elif node.keyword == "client":
            client = _client(part)
            if client.name in clients:
                wrong(node, f"the client {client.name} is given twice; keep one")
            clients[client.name] = client
        elif node.keyword == "surge":
            part.reject_names()
            surges.append(
                Surge(
                    part.read_time_us("at", is_required=True),
                    part.read_time_us("for", is_required=True),
                    part.read_number("times", 2.0, 0.01, 100),
                    part.read_names("clients", "client"),
                )
            )
        elif node.keyword == "fault":
            kind = part.read_name("fault")
            if kind and kind not in FAULTS:
                wrong(node, f"(fault {kind} ...): there are {', '.join(FAULTS)}")
            faults.append(
                Fault(
                    kind,
                    part.read_time_us("at", is_required=True),
                    part.read_time_us("for", is_required=True),
                    part.read_quantity("bricks", "share", 0.5, 0.0, 1.0),
                    part.read_quantity("requests", "share", 1.0, 0.0, 1.0),
                    part.read_number("times", 5.0, 1, 1000),
                )
            )
        else:
            wrong(node, f"{node.keyword or 'a form without a word'!r} is no form; there are run, client, surge, fault")
            continue
        part.reject_unknown()
    plan = replace(plan, clients=tuple(clients.values()), surges=tuple(surges), faults=tuple(faults))
    if not mistakes:
        for surge in surges:
            for name in surge.clients:
                if name not in clients:
                    wrong(nodes[0], f"a surge names the client {name}, which is nowhere defined")
        if not clients:
            wrong(nodes[0], "a plan needs a (client NAME ...)")
        most = sum(one.rate for one in clients.values()) * max([1.0, *(one.times for one in surges)])
        if most > MAX_RATE:
            wrong(nodes[0], f"all clients together ask up to {most:g} times a second; at most {MAX_RATE:g}")
    return plan, mistakes


def _run(part: FormReader) -> LoadPlan:
    part.reject_names()
    return LoadPlan(
        int(part.read_number("seed", 1, 0, 1e9, is_integer=True)),
        int(part.read_quantity("for", "time", 10e6, 1e6, LONGEST_S * 1e6)),
        part.read_time_us("settle", 2_000_000),
        int(part.read_number("bricks", 3, 1, 64, is_integer=True)),
        int(part.read_number("slots", 2, 1, 64, is_integer=True)),
        part.read_time_us("work", 20_000, 100),
        int(part.read_quantity("queue", "requests", 64, 1, 1e6)),
    )


def _client(part: FormReader) -> Client:
    name, way = part.read_name("client"), part.read_choice("way", ("read", "write"))
    return Client(
        name,
        part.read_optional_name("class", "class"),
        part.read_optional_name("plan", "plan"),
        part.read_quantity("rate", "request rate", 1.0, 0.0, MAX_RATE, is_required=True),
        part.read_quantity("units", "units", 1.0, 0.01, 1e6),
        int(part.read_number("volumes", 1, 1, VOLUMES - 1, is_integer=True)),
        way == "write",
        part.read_time_us("remaining", 1_000_000, 10_000),
        part.read_time_us("aim", 200_000, 1000),
        part.read_number("worth", 1.0, 0.0, 1e6),
        int(part.read_number("retries", 0, 0, 10, is_integer=True)),
        part.read_time_us("pause", 100_000, 1000),
        part.read_time_us("stays"),
        part.read_number("heavy", 1.0, 1.0, 1000),
        part.read_quantity("heavy-part", "share", 0.0, 0.0, 1.0),
    )
