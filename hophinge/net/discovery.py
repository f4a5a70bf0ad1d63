"""Discovery: the list of bricks, first as the head had it last, then whole, then by chained watches."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import aiohttp
import msgspec

from hophinge.core import interface as api
from hophinge.core.counters import Counters

LIST_S = 2.0            # a whole list is answered at once, or discovery is down
WATCH_MS = 20_000
WATCH_SPARE_S = 1.5     # beyond the wait that the watch itself states
FIRST_PAUSE_S = 0.02    # after an error; well under the 200 ms within which a watch goes on
LONGEST_PAUSE_S = 1.0
LONGEST_ADVICE_S = 5.0  # of a Retry-After that is kept to
JITTER = (0.5, 1.5)     # parts of a pause: heads that were all turned away at once do not come back at once
PHASES = {"Ready": api.Phase.ON, "Terminating": api.Phase.DRAINING, "Gone": api.Phase.GONE}


class Target(msgspec.Struct):
    """A brick as discovery tells it."""

    uid: str
    endpoint: str
    state: str
    az: str = ""
    model: str = ""
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: int = 0


class Listing(msgspec.Struct):
    """A list of bricks, or what changed in it."""

    rev: int
    targets: list[Target]
    all: bool = True


class Directory:
    """Where bricks listen; turns discovery's lists into the interface's."""

    def __init__(self, settings: api.Settings) -> None:
        self.endpoints: dict[str, str] = {}
        self.zones = {name: at for at, name in enumerate(settings.zones)}
        self.kinds = {name: at for at, name in enumerate(settings.kinds)}

    def endpoint(self, node: str) -> str | None:
        """Tell where a brick listens."""
        return self.endpoints.get(node)

    def take(self, listing: Listing, kind: api.ListKind) -> api.NodeList:
        """Note the endpoints of a list and translate it."""
        if kind is api.ListKind.FULL:
            self.endpoints = {}
        for target in listing.targets:
            if target.state == "Gone":
                self.endpoints.pop(target.uid, None)
            else:
                self.endpoints[target.uid] = target.endpoint
        return api.NodeList(kind, tuple(map(self._entry, listing.targets)))

    def _entry(self, target: Target) -> api.NodeEntry:
        # A state that is not known is no reason to send: it counts as draining.
        return api.NodeEntry(
            target.uid, self.zones.get(target.az, 0), target.pod_group,
            PHASES.get(target.state, api.Phase.DRAINING), target.capacity_hint, target.boot_ms * 1000,
            self.kinds.get(target.model, 0))


def _advice(error: Exception) -> float:
    """Tell for how long discovery asks its caller to stay away."""
    headers = error.headers if isinstance(error, aiohttp.ClientResponseError) else None
    try:
        return min(LONGEST_ADVICE_S, max(0.0, float(headers.get("Retry-After", "0")))) if headers else 0.0
    except ValueError:
        return 0.0


class Discovery:
    """The watch. It outlives silence and errors; the list held stays in force meanwhile."""

    def __init__(self, address: str, directory: Directory, tell: Callable[[api.NodeList], None],
                 counters: Counters) -> None:
        self.address, self.directory, self.tell, self.counters = address, directory, tell, counters
        self.rev: int | None = None
        self.task: asyncio.Task[None] | None = None
        self.heard = asyncio.Event()    # the first answer is in, be it that callers are turned away
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), trust_env=False, cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None))

    def follow(self, address: str) -> None:
        """Follow the list at an address, begun with a whole one; a watch elsewhere ends at once.

        An agent that is left may go on holding its watch open without a word, and versions of one agent mean nothing
        to another. The list held stays in force until the new agent has told its own.
        """
        if self.task is not None:
            self.task.cancel()
        self.address, self.rev = address, None
        self.task = asyncio.get_running_loop().create_task(self._run(f"http://{address}/v1/servers"))

    async def _run(self, url: str) -> None:
        pause = FIRST_PAUSE_S
        while True:
            try:
                await self._call(url)
            except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as error:
                self.counters.add("discovery_errors")
                if self.directory.endpoints and isinstance(error, (aiohttp.ClientError, ConnectionError)):
                    self.heard.set()    # turned away: who has a list waits for no better one
                await asyncio.sleep(max(pause * random.uniform(*JITTER), _advice(error) * random.uniform(1, JITTER[1])))
                pause = min(2 * pause, LONGEST_PAUSE_S)
            else:
                pause = FIRST_PAUSE_S

    async def _call(self, url: str) -> None:
        wait = LIST_S
        if self.rev is not None:
            url = f"{url}?since={self.rev}&timeout_ms={WATCH_MS}"
            wait = WATCH_MS / 1000 + WATCH_SPARE_S
        async with asyncio.timeout(wait), self.session.get(url, allow_redirects=False) as response:
            response.raise_for_status()
            listing = msgspec.json.decode(await response.read(), type=Listing)
        self.counters.add("discovery_answers")
        # The first answer of this life is a whole list even if it does not say so: it is what was asked for.
        full = listing.all or self.rev is None
        self.rev = listing.rev
        if full or listing.targets:
            self.tell(self.directory.take(listing, api.ListKind.FULL if full else api.ListKind.CHANGES))
        self.heard.set()

    async def close(self) -> None:
        """End the watch and close its connection."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.session.close()
