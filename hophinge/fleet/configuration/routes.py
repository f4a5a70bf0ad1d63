"""The route table in which the data plane looks up routes."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

# A client abandons a stream without a first event after the largest of these:
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_TARGETS = 4.0  # multiple of the route's target latency
CLIENT_TIMEOUT_GAPS = 8.0  # multiple of the route's longest gap between events


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """The engines of a service with prefill and decode."""

    memory_tokens: int  # of the KV cache
    stage_switch_s: float | None = None  # duration of a stage change; None if the document does not specify it


@dataclass(frozen=True, slots=True)
class Service:
    """A service. `engine` is None if its requests have no prefill and decode stages."""

    name: str
    engine: EngineSettings | None
    cold_start_s: float = 0.0  # how long an instance stays cold after its start
    cold_per_s: float = 0.0  # requests per second that a cold instance can serve; 0 if not specified


@dataclass(frozen=True, slots=True)
class Route:
    """A route. `cumulative_weights` has a running sum for each of `services`; the last item is the total weight.

    A route without services could not be read completely; its requests are rejected.
    """

    name: str
    host: str
    prefix: str
    route_type: str  # safe, unsafe or streaming
    timeout_s: float
    target_s: float
    gap_s: float  # the longest gap between events of a response that meets its target; 0 if not specified
    priority: int
    max_attempts: int
    is_resumable: bool
    services: tuple[str, ...]
    cumulative_weights: tuple[float, ...]

    @property
    def is_available(self) -> bool:
        """Whether the route has services to which requests can be sent."""
        return bool(self.services)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.route_type == "safe" or (self.route_type == "streaming" and self.is_resumable)

    @property
    def client_timeout_s(self) -> float:
        """How long a client waits for the first event of a stream according to the protocol, in seconds."""
        return max(MIN_CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_TARGETS * self.target_s, CLIENT_TIMEOUT_GAPS * self.gap_s)

    def choose_service(self, draw: float) -> str:
        """Choose a service by weight; `draw` is a random number from 0 to 1."""
        index = bisect_right(self.cumulative_weights, draw * self.cumulative_weights[-1])
        return self.services[min(index, len(self.services) - 1)]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of a request, and timeouts in seconds of an idle connection and of a request's header."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_s: float = 15.0
    header_s: float = 3.0


class RouteTable:
    """One version of the configuration."""

    def __init__(self, version: int, routes: list[Route], services: list[Service], limits: Limits) -> None:
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.routes = routes
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix; None if no route matches."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
