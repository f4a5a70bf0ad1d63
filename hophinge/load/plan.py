"""The plan of a load, as S-expressions: classes of clients, surges, and faults of the backends."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from hophinge.routing.s_expressions import Atom, Form, Mistake, Node, decode_text, parse
from hophinge.routing.document_reader import FormReader

VERSION = "1"
FAULTS = ("fail", "hang", "slow", "cold", "vanish")
MAX_RATE = 20_000.0  # requests a second of all clients together
MAX_DURATION_S = 600.0
MAX_VOLUMES = 0x10_0000  # a client's volumes count from its place, times this


@dataclass(frozen=True)
class ClientClass:
    """A class of clients, which send one kind of request."""

    name: str
    klass: str
    plan: str
    rate: float  # requests a second, by Poisson's law
    units: float = 1.0
    volumes: int = 1  # that they are spread over
    write: bool = False
    remaining_us: int = 1_000_000
    target_latency_us: int = 200_000  # within which an answer counts
    value: float = 1.0
    retries: int = 0  # of one request
    retry_interval_us: int = 100_000  # where the answer has no Retry-After
    leaves_after_us: int = 0  # the client gives up then; 0: at its deadline
    heavy_factor: float = 1.0  # times the work of a heavy request
    heavy_share: float = 0.0


@dataclass(frozen=True)
class Surge:
    """A span in which clients send more requests."""

    at_us: int
    duration_us: int
    rate_factor: float
    clients: tuple[str, ...] = ()  # none: all


@dataclass(frozen=True)
class Fault:
    """A fault of some backends for a span."""

    kind: str
    at_us: int
    duration_us: int
    backend_share: float = 0.5  # of the backends, the first ones
    failure_share: float = 1.0  # of the requests, for fail
    slowdown: float = 5.0  # the work, for slow


@dataclass(frozen=True)
class LoadPlan:
    """A complete plan."""

    seed: int = 1
    duration_us: int = 10_000_000
    warm_up_us: int = 2_000_000  # at the beginning, not counted
    backends: int = 3
    slots: int = 2  # of a backend
    work_us: int = 20_000  # for a unit in a slot
    max_queued_requests: int = 64  # at a backend; beyond, it rejects
    clients: tuple[ClientClass, ...] = ()
    surges: tuple[Surge, ...] = ()
    faults: tuple[Fault, ...] = ()

    @property
    def capacity(self) -> float:
        """The units a second that the backends serve."""
        return self.backends * self.slots / (self.work_us / 1e6)

    @property
    def offered(self) -> float:
        """The units a second that clients request, without surges."""
        return sum(one.rate * one.units * (1 + (one.heavy_factor - 1) * one.heavy_share) for one in self.clients)

    def scaled_to(self, utilization: float) -> LoadPlan:
        """Return the plan with all rates scaled so that it offers `utilization` times the capacity of the backends."""
        scale = utilization * self.capacity / self.offered
        return replace(self, clients=tuple(replace(one, rate=one.rate * scale) for one in self.clients))


@dataclass(frozen=True, order=True)
class Arrival:
    """The first attempt of one request."""

    at_us: int
    number: int
    client: int = field(compare=False)
    volume: int = field(compare=False)
    key: int = field(compare=False)
    units: float = field(compare=False)
    heavy: bool = field(compare=False)


def arrivals(plan: LoadPlan) -> list[Arrival]:
    """Draw the first attempts of a plan: the same for the same seed, whatever their outcomes."""
    drawn = [
        (at, client, rng)
        for place, client in enumerate(plan.clients)
        for rng in [random.Random(plan.seed * 1_000_003 + place)]
        for at in _arrival_times(plan, client, rng)
    ]
    places = {client.name: place for place, client in enumerate(plan.clients)}
    found = []
    for number, (at, client, rng) in enumerate(sorted(drawn, key=lambda row: row[0])):
        place = places[client.name]
        found.append(
            Arrival(
                at,
                number,
                place,
                place * MAX_VOLUMES + rng.randrange(client.volumes),
                rng.getrandbits(64),
                client.units,
                rng.random() < client.heavy_share,
            )
        )
    return found


def _arrival_times(plan: LoadPlan, client: ClientClass, rng: random.Random) -> Iterator[int]:
    at = 0.0
    max_factor = max([1.0, *(surge.rate_factor for surge in plan.surges)])
    if not client.rate:
        return
    while (at := at + rng.expovariate(client.rate * max_factor) * 1e6) < plan.duration_us:
        rate_factor = max(
            [
                surge.rate_factor
                for surge in plan.surges
                if surge.at_us <= at < surge.at_us + surge.duration_us
                and (not surge.clients or client.name in surge.clients)
            ],
            default=1.0,
        )
        if rng.random() < rate_factor / max_factor:  # thinned: the same draws whatever the surges
            yield int(at)


class PlanReader:
    """Reads the forms of a plan and collects their mistakes."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        self.mistakes = mistakes
        self.run = LoadPlan()
        self.clients: dict[str, ClientClass] = {}
        self.surges: list[Surge] = []
        self.faults: list[Fault] = []

    def reject(self, node: Node, text: str) -> None:
        """Record a mistake at a node."""
        self.mistakes.append(Mistake(node.line, node.column, text))

    def read_form(self, node: Form) -> None:
        """Read one form of the document."""
        fields = FormReader(node, self.reject)
        match node.keyword:
            case "run":
                self.run = _run(fields)
            case "client":
                client = _client(fields)
                if client.name in self.clients:
                    self.reject(node, f"the client {client.name} is given twice; keep one")
                self.clients[client.name] = client
            case "surge":
                self.surges.append(_surge(fields))
            case "fault":
                self.faults.append(self._fault(node, fields))
            case _:
                word = node.keyword or "a form without a word"
                self.reject(node, f"{word!r} is no form; there are run, client, surge, fault")
                return
        fields.reject_unknown()

    def _fault(self, node: Form, fields: FormReader) -> Fault:
        kind = fields.read_name("fault")
        if kind and kind not in FAULTS:
            self.reject(node, f"(fault {kind} ...): there are {', '.join(FAULTS)}")
        return Fault(
            kind,
            fields.read_time_us("at", is_required=True),
            fields.read_time_us("for", is_required=True),
            fields.read_quantity("bricks", "share", 0.5, 0.0, 1.0),
            fields.read_quantity("requests", "share", 1.0, 0.0, 1.0),
            fields.read_number("times", 5.0, 1, 1000),
        )

    def check(self, node: Node) -> None:
        """Check the forms against each other; mistakes are recorded at a node."""
        for surge in self.surges:
            for name in surge.clients:
                if name not in self.clients:
                    self.reject(node, f"a surge names the client {name}, which is nowhere defined")
        if not self.clients:
            self.reject(node, "a plan needs a (client NAME ...)")
        max_factor = max([1.0, *(surge.rate_factor for surge in self.surges)])
        max_rate = sum(client.rate for client in self.clients.values()) * max_factor
        if max_rate > MAX_RATE:
            self.reject(node, f"all clients together ask up to {max_rate:g} times a second; at most {MAX_RATE:g}")

    def plan(self) -> LoadPlan:
        """Return the plan of the forms that were read."""
        return replace(
            self.run, clients=tuple(self.clients.values()), surges=tuple(self.surges), faults=tuple(self.faults)
        )


def read_plan(raw: bytes) -> tuple[LoadPlan, list[Mistake]]:
    """Read a plan and return it with its mistakes; none is raised."""
    text, mistakes = decode_text(raw)
    nodes: list[Node] = []
    if not mistakes:
        nodes, mistakes = parse(text)
    reader = PlanReader(mistakes)
    if not mistakes and not _is_header(nodes[0] if nodes else None):
        reader.reject(nodes[0] if nodes else Atom("", 1, 1), f"a plan begins with (load {VERSION})")
    for node in nodes[1:]:
        if isinstance(node, Atom):
            reader.reject(node, f"{node.text!r} stands outside of any form; put it into one or remove it")
        else:
            reader.read_form(node)
    if not mistakes:
        reader.check(nodes[0])
    return reader.plan(), mistakes


def _is_header(node: Node | None) -> bool:
    return isinstance(node, Form) and node.keyword == "load" and [str(item) for item in node.items[1:]] == [VERSION]


def _surge(fields: FormReader) -> Surge:
    fields.reject_names()
    return Surge(
        fields.read_time_us("at", is_required=True),
        fields.read_time_us("for", is_required=True),
        fields.read_number("times", 2.0, 0.01, 100),
        fields.read_names("clients", "client"),
    )


def _run(fields: FormReader) -> LoadPlan:
    fields.reject_names()
    return LoadPlan(
        int(fields.read_number("seed", 1, 0, 1e9, is_integer=True)),
        int(fields.read_quantity("for", "time", 10e6, 1e6, MAX_DURATION_S * 1e6)),
        fields.read_time_us("settle", 2_000_000),
        int(fields.read_number("bricks", 3, 1, 64, is_integer=True)),
        int(fields.read_number("slots", 2, 1, 64, is_integer=True)),
        fields.read_time_us("work", 20_000, 100),
        int(fields.read_quantity("queue", "requests", 64, 1, 1e6)),
    )


def _client(fields: FormReader) -> ClientClass:
    name, direction = fields.read_name("client"), fields.read_choice("way", ("read", "write"))
    return ClientClass(
        name,
        fields.read_optional_name("class", "class"),
        fields.read_optional_name("plan", "plan"),
        fields.read_quantity("rate", "request rate", 1.0, 0.0, MAX_RATE, is_required=True),
        fields.read_quantity("units", "units", 1.0, 0.01, 1e6),
        int(fields.read_number("volumes", 1, 1, MAX_VOLUMES - 1, is_integer=True)),
        direction == "write",
        fields.read_time_us("remaining", 1_000_000, 10_000),
        fields.read_time_us("aim", 200_000, 1000),
        fields.read_number("worth", 1.0, 0.0, 1e6),
        int(fields.read_number("retries", 0, 0, 10, is_integer=True)),
        fields.read_time_us("pause", 100_000, 1000),
        fields.read_time_us("stays"),
        fields.read_number("heavy", 1.0, 1.0, 1000),
        fields.read_quantity("heavy-part", "share", 0.0, 0.0, 1.0),
    )
