"""Reads a load plan from S-expressions (client classes, surges, backend faults) and draws its arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from hophinge.routing.s_expressions import Atom, Form, Mistake, Node, decode_text, parse
from hophinge.routing.document_reader import FormReader

VERSION = "1"
FAULTS = ("fail", "hang", "slow", "cold", "vanish")
MAX_RATE = 20_000.0  # requests/s of all clients together, surges included
MAX_DURATION_S = 600.0
MAX_VOLUMES = 0x10_0000  # client class i uses the volume numbers from i * MAX_VOLUMES on


@dataclass(frozen=True)
class ClientClass:
    """A class of clients that all send the same kind of request."""

    name: str
    klass: str
    plan: str
    rate: float  # requests/s, as a Poisson process
    units: float = 1.0
    volumes: int = 1  # number of volumes that the requests are spread over
    write: bool = False
    remaining_us: int = 1_000_000
    target_latency_us: int = 200_000  # a request answered within this time earns its value
    value: float = 1.0
    retries: int = 0  # at most, of each request
    retry_interval_us: int = 100_000  # if the response has no Retry-After
    leaves_after_us: int = 0  # the client disconnects after this time; 0: at its deadline
    heavy_factor: float = 1.0  # a heavy request takes this many times its units of work
    heavy_share: float = 0.0  # of the requests


@dataclass(frozen=True)
class Surge:
    """A period in which the request rates of clients are multiplied."""

    at_us: int
    duration_us: int
    rate_factor: float
    clients: tuple[str, ...] = ()  # empty: all


@dataclass(frozen=True)
class Fault:
    """A fault of some backends for a period."""

    kind: str
    at_us: int
    duration_us: int
    backend_share: float = 0.5  # of the backends, starting at shard 0
    failure_share: float = 1.0  # of the requests; for `fail`
    slowdown: float = 5.0  # factor on the service time; for `slow`


@dataclass(frozen=True)
class LoadPlan:
    """A load plan."""

    seed: int = 1
    duration_us: int = 10_000_000
    warm_up_us: int = 2_000_000  # at the start; its requests are not counted
    backends: int = 3
    slots: int = 2  # requests that a backend serves at the same time
    work_us: int = 20_000  # service time of one unit
    max_queued_requests: int = 64  # per backend; further requests are rejected
    clients: tuple[ClientClass, ...] = ()
    surges: tuple[Surge, ...] = ()
    faults: tuple[Fault, ...] = ()

    @property
    def capacity(self) -> float:
        """Units per second that all backends together serve at full speed."""
        return self.backends * self.slots / (self.work_us / 1e6)

    @property
    def offered(self) -> float:
        """Units per second that all clients together request outside surges."""
        return sum(
            client.rate * client.units * (1 + (client.heavy_factor - 1) * client.heavy_share) for client in self.clients
        )

    def scaled_to(self, utilization: float) -> LoadPlan:
        """Return the plan with all rates scaled so that it offers `utilization` times the backends' capacity."""
        scale = utilization * self.capacity / self.offered
        return replace(self, clients=tuple(replace(client, rate=client.rate * scale) for client in self.clients))


@dataclass(frozen=True, order=True)
class Arrival:
    """A request and the time of its first attempt."""

    at_us: int
    number: int
    client: int = field(compare=False)
    volume: int = field(compare=False)
    key: int = field(compare=False)
    units: float = field(compare=False)
    heavy: bool = field(compare=False)


def arrivals(plan: LoadPlan) -> list[Arrival]:
    """Return the requests of a plan in order of time; they depend on the plan and its seed alone."""
    drawn = [
        (at_us, client, rng)
        for client_index, client in enumerate(plan.clients)
        for rng in [random.Random(plan.seed * 1_000_003 + client_index)]
        for at_us in _arrival_times(plan, client, rng)
    ]
    client_indexes = {client.name: client_index for client_index, client in enumerate(plan.clients)}
    scheduled = []
    for number, (at_us, client, rng) in enumerate(sorted(drawn, key=lambda row: row[0])):
        client_index = client_indexes[client.name]
        scheduled.append(
            Arrival(
                at_us,
                number,
                client_index,
                client_index * MAX_VOLUMES + rng.randrange(client.volumes),
                rng.getrandbits(64),
                client.units,
                rng.random() < client.heavy_share,
            )
        )
    return scheduled


def _arrival_times(plan: LoadPlan, client: ClientClass, rng: random.Random) -> Iterator[int]:
    at_us = 0.0
    max_factor = max([1.0, *(surge.rate_factor for surge in plan.surges)])
    if not client.rate:
        return
    while (at_us := at_us + rng.expovariate(client.rate * max_factor) * 1e6) < plan.duration_us:
        rate_factor = max(
            [
                surge.rate_factor
                for surge in plan.surges
                if surge.at_us <= at_us < surge.at_us + surge.duration_us
                and (not surge.clients or client.name in surge.clients)
            ],
            default=1.0,
        )
        if rng.random() < rate_factor / max_factor:  # thinning: the draws do not depend on when surges occur
            yield int(at_us)


class PlanReader:
    """Reads the forms of a plan and collects the mistakes in them."""

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
                    self.reject(node, f"the client {client.name} is defined twice; keep one")
                self.clients[client.name] = client
            case "surge":
                self.surges.append(_surge(fields))
            case "fault":
                self.faults.append(self._fault(node, fields))
            case _:
                keyword = node.keyword or "(no keyword)"
                self.reject(node, f"unknown form {keyword!r}; known forms: run, client, surge, fault")
                return
        fields.reject_unknown()

    def _fault(self, node: Form, fields: FormReader) -> Fault:
        kind = fields.read_name("fault")
        if kind and kind not in FAULTS:
            self.reject(node, f"unknown fault {kind}; known faults: {', '.join(FAULTS)}")
        return Fault(
            kind,
            fields.read_time_us("at", is_required=True),
            fields.read_time_us("for", is_required=True),
            fields.read_quantity("bricks", "share", 0.5, 0.0, 1.0),
            fields.read_quantity("requests", "share", 1.0, 0.0, 1.0),
            fields.read_number("times", 5.0, 1, 1000),
        )

    def check(self, node: Node) -> None:
        """Check that the forms are consistent with each other; mistakes are recorded at `node`."""
        for surge in self.surges:
            for name in surge.clients:
                if name not in self.clients:
                    self.reject(
                        node, f"a surge names the client {name}, which is not defined; define it or name another"
                    )
        if not self.clients:
            self.reject(node, "a plan needs a (client NAME ...)")
        max_factor = max([1.0, *(surge.rate_factor for surge in self.surges)])
        max_rate = sum(client.rate for client in self.clients.values()) * max_factor
        if max_rate > MAX_RATE:
            self.reject(
                node, f"all clients together send up to {max_rate:g} requests/s; at most {MAX_RATE:g} are allowed"
            )

    def plan(self) -> LoadPlan:
        """Return the plan that the forms read so far define."""
        return replace(
            self.run, clients=tuple(self.clients.values()), surges=tuple(self.surges), faults=tuple(self.faults)
        )


def read_plan(raw: bytes) -> tuple[LoadPlan, list[Mistake]]:
    """Read a plan and return it with its mistakes; mistakes are never raised."""
    text, mistakes = decode_text(raw)
    nodes: list[Node] = []
    if not mistakes:
        nodes, mistakes = parse(text)
    reader = PlanReader(mistakes)
    if not mistakes and not _is_header(nodes[0] if nodes else None):
        reader.reject(nodes[0] if nodes else Atom("", 1, 1), f"a plan must begin with (load {VERSION})")
    for node in nodes[1:]:
        if isinstance(node, Atom):
            reader.reject(node, f"{node.text!r} is outside any form; move it into a form or remove it")
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
