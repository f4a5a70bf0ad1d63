"""Discovery of backends: the list as it was last saved, then a complete one, then changes by chained watches."""

from __future__ import annotations

import asyncio
import contextlib
import random
import traceback
from collections.abc import Callable

import aiohttp
import msgspec

from hophinge.core import interface as api
from hophinge.core.counters import Counters
from hophinge.net.address import split
from hophinge.net.discovery_pacer import HEDGE_DELAY_S, MAX_HEDGED_CALLS, DiscoveryPacer

MAX_BOOT_MS = 2**53  # of a start time; a later one is not usable in arithmetic
PHASES = {"Ready": api.Phase.ON, "Terminating": api.Phase.DRAINING, "Gone": api.Phase.GONE}


class Target(msgspec.Struct):
    """A backend as discovery lists it; field names are the protocol's."""

    uid: str
    endpoint: str
    state: str
    az: str = ""
    model: str = ""
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: int = 0


class Listing(msgspec.Struct):
    """A list of backends, or the changes of one; field names are the protocol's."""

    rev: int
    targets: list[Target]
    all: bool = True


class DrainingEntry(msgspec.Struct):
    """The part of an entry that counts even where the rest of it is malformed."""

    uid: str
    state: str


class RawListing(msgspec.Struct):
    """A list with undecoded entries: a malformed one must not invalidate the others."""

    rev: int
    targets: list[msgspec.Raw]
    all: bool = True


def parse_listing(body: bytes, complete: bool = False) -> tuple[Listing, int]:
    """Parse a list; returns it and the number of entries left out as malformed or without an address.

    Args:
        body: JSON.
        complete: whether a complete list was requested.

    Raises:
        msgspec.MsgspecError: it is no list, or a complete one without a valid entry.

    """
    try:
        raw_listing = msgspec.json.decode(body, type=RawListing)
    except RecursionError as error:  # nested too deeply; none of msgspec's own
        raise msgspec.ValidationError(str(error)) from None
    targets = [target for raw in raw_listing.targets if (target := _parse_target(raw)) is not None]
    if (raw_listing.all or complete) and not targets:
        raise msgspec.ValidationError("a whole list without a sound entry")
    return Listing(raw_listing.rev, targets, raw_listing.all), len(raw_listing.targets) - len(targets)


def _parse_target(raw: msgspec.Raw) -> Target | None:
    """Parse an entry; None where it is malformed and does not say that a backend is draining or gone."""
    with contextlib.suppress(ValueError):  # msgspec's errors are among them
        target = msgspec.json.decode(raw, type=Target)
        if target.uid and (target.state == "Gone" or split(target.endpoint)[1] > 0):
            return target
    with contextlib.suppress(ValueError):
        draining = msgspec.json.decode(raw, type=DrainingEntry)
        if draining.uid and draining.state != "Ready":
            return Target(draining.uid, "", draining.state)
    return None


class EndpointDirectory:
    """The endpoints of the listed backends; translates discovery's lists into the core's."""

    def __init__(self, settings: api.Settings) -> None:
        self.endpoints: dict[str, str] = {}
        self.zones = {name: at for at, name in enumerate(settings.zones)}
        self.kinds = {name: at for at, name in enumerate(settings.kinds)}

    def endpoint(self, node: str) -> str | None:
        """Return a backend's endpoint; None where it is not listed."""
        return self.endpoints.get(node)

    def apply(self, listing: Listing, kind: api.ListKind) -> api.NodeList:
        """Record the endpoints of a list and translate it."""
        previous = self.endpoints
        if kind is api.ListKind.FULL:
            self.endpoints = {}
        for target in listing.targets:
            if target.state == "Gone":
                self.endpoints.pop(target.uid, None)
            elif endpoint := target.endpoint or previous.get(target.uid, ""):
                self.endpoints[target.uid] = endpoint
        return api.NodeList(kind, tuple(map(self._entry, listing.targets)))

    def _entry(self, target: Target) -> api.NodeEntry:
        # A state that is not known is no reason to send: it counts as draining. A zone or kind that the settings do not
        # name is one of its own, not the first that they name.
        return api.NodeEntry(
            target.uid,
            self.zones.setdefault(target.az, len(self.zones)),
            target.pod_group,
            PHASES.get(target.state, api.Phase.DRAINING),
            target.capacity_hint,
            max(0, min(MAX_BOOT_MS, target.boot_ms)) * 1000,
            self.kinds.setdefault(target.model, len(self.kinds)),
        )


def _retry_after_s(error: Exception) -> float:
    """Return the seconds of an error's Retry-After header; 0.0 where there is none."""
    headers = error.headers if isinstance(error, aiohttp.ClientResponseError) else None
    try:
        return float(headers.get("Retry-After", "0")) if headers else 0.0
    except ValueError:
        return 0.0


class DiscoveryWatch:
    """The watch on discovery's list. It survives time-outs and errors; the last list stays in force meanwhile."""

    def __init__(
        self,
        address: str,
        directory: EndpointDirectory,
        on_list: Callable[[api.NodeList], None],
        counters: Counters,
        heads: int = 1,
        seed: int = 0,
        log: Callable[[str], None] = lambda text: None,
        pushed: bool = False,
    ) -> None:
        self.address = address
        self.directory = directory
        self.on_list = on_list
        self.counters = counters
        self.rev: int | None = None
        # what the calls that failed last ended with
        self.log = log
        self.last_fault = ""
        self.pacer = DiscoveryPacer(heads, random.Random(seed), pushed)
        self.task: asyncio.Task[None] | None = None
        self.first_answer = asyncio.Event()  # the first answer is in, be it that callers are turned away
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
        )

    def follow(self, address: str, rev: int | None = None) -> None:
        """Follow the list at an address, from a known version or else from a complete list.

        A watch elsewhere ends at once: an agent that is left may go on holding it open without a word, and versions of
        one agent mean nothing to another. The list held stays in force until the new agent has told its own.
        """
        if self.task is not None:
            self.task.cancel()
        self.address = address
        self.rev = rev
        self.pacer.reset()
        self.task = asyncio.get_running_loop().create_task(self._run(f"http://{address}/v1/servers"))

    async def _run(self, url: str) -> None:
        while True:
            try:
                await self._update(url)
            except (Exception, asyncio.CancelledError) as error:
                if (task := asyncio.current_task()) is not None and task.cancelling():
                    raise
                # Whatever it was: a watch that ended here would be missed by nobody.
                await asyncio.sleep(self._record_failure(error))
            else:
                self.pacer.record_answer()
                self._log_fault("")

    def _record_failure(self, error: BaseException) -> float:
        """Count and log a failed call; returns the backoff in seconds."""
        self.counters.add("discovery_errors")
        away = isinstance(error, (aiohttp.ClientError, ConnectionError))
        if away and self.directory.endpoints and not self.pacer.pushed:
            # A head that has a list waits for no better one; an agent beside it may have one the next moment.
            self.first_answer.set()
        if isinstance(error, aiohttp.ClientResponseError):
            self._log_fault(f"status {error.status}")
            return self.pacer.record_rejection(_retry_after_s(error))
        expected = isinstance(error, (aiohttp.ClientError, OSError, msgspec.MsgspecError))
        self._log_fault(
            f"{type(error).__name__} {error}".strip(),
            "" if expected else "\n" + "".join(traceback.format_exception(error)),
        )
        return self.pacer.record_failure()

    def _log_fault(self, fault: str, trace: str = "") -> None:
        """Log a fault once, and its end."""
        if fault != self.last_fault:
            self.last_fault = fault
            with contextlib.suppress(Exception):  # a log that is full or gone takes no watch with it
                self.log(
                    f"discovery at {self.address} fails, the list held stays in force: {fault}{trace}"
                    if fault
                    else f"discovery at {self.address} answers again"
                )

    async def _request(self, url: str) -> tuple[Listing, int]:
        wait_s, limit_s = self.pacer.next_timeouts(self.rev is not None, self.first_answer.is_set())
        if wait_s:
            url = f"{url}?since={self.rev}&timeout_ms={round(wait_s * 1000)}"
        async with asyncio.timeout(limit_s), self.session.get(url, allow_redirects=False) as response:
            response.raise_for_status()
            return parse_listing(await response.read(), self.rev is None)

    async def _hedged_request(self, url: str) -> tuple[Listing, int]:
        """Hedge calls that get no answer with further ones until one is answered."""
        calls: set[asyncio.Task[tuple[Listing, int]]] = set()
        pause_s = 0.0  # before another call, after one that failed; those that are open go on meanwhile
        try:
            while True:
                if not pause_s and len(calls) < MAX_HEDGED_CALLS:
                    calls.add(asyncio.get_running_loop().create_task(self._request(url)))
                done, calls = await asyncio.wait(
                    calls, timeout=pause_s or HEDGE_DELAY_S, return_when=asyncio.FIRST_COMPLETED
                )
                pause_s = 0.0
                errors = [call.exception() for call in done]
                if None in errors:
                    return next(call.result() for call in done if call.exception() is None)
                for error in errors:
                    if error is not None and not isinstance(error, TimeoutError):
                        if not calls:
                            raise error
                        pause_s = self._record_failure(error)
        finally:
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _update(self, url: str) -> None:
        listing, left_out = await (self._hedged_request(url) if self.pacer.hedges else self._request(url))
        self.counters.add("discovery_answers")
        self.counters.add("discovery_entries_left_out", left_out)
        # An answer to a call for the whole list is one even if it does not say so.
        full = listing.all or self.rev is None
        if not full and self.rev is not None and listing.rev < self.rev:
            self.rev = None  # another count than the one held: only a whole list tells what is so
            return
        self.rev = None  # a list that could not be told is asked for again, whole
        if full or listing.targets:
            self.on_list(self.directory.apply(listing, api.ListKind.FULL if full else api.ListKind.CHANGES))
        self.rev = listing.rev
        self.first_answer.set()

    async def close(self) -> None:
        """Cancel the watch and close its session."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.session.close()
