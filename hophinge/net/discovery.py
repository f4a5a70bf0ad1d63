"""Discovery of backends: starts from a saved or a complete list, then follows changes by successive long polls."""

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
from hophinge.net.bounded_body import read_body
from hophinge.net.discovery_pacer import HEDGE_DELAY_S, MAX_HEDGED_CALLS, DiscoveryPacer

MAX_LISTING_BYTES = 8 << 20  # of a list: some tens of thousands of backends
MAX_BOOT_MS = 2**53  # largest start time; later ones are clamped, as they are unusable in arithmetic
PHASES = {"Ready": api.Phase.ON, "Terminating": api.Phase.DRAINING, "Gone": api.Phase.GONE}


class Target(msgspec.Struct):
    """A backend as discovery lists it; the field names are those of the protocol."""

    uid: str
    endpoint: str
    state: str
    az: str = ""
    model: str = ""
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: int = 0


class Listing(msgspec.Struct):
    """A list of backends, or its changes; the field names are those of the protocol."""

    rev: int
    targets: list[Target]
    all: bool = True


class DrainingEntry(msgspec.Struct):
    """The part of an entry that is used even if the rest of the entry is malformed."""

    uid: str
    state: str


class RawListing(msgspec.Struct):
    """A list with undecoded entries: a malformed entry must not invalidate the others."""

    rev: int
    targets: list[msgspec.Raw]
    all: bool = True


def parse_listing(body: bytes, complete: bool = False) -> tuple[Listing, int]:
    """Parse a list; returns it and the number of entries skipped as malformed or without an address.

    Args:
        body: JSON.
        complete: whether a complete list was requested.

    Raises:
        msgspec.MsgspecError: the body is no list, or a complete list without a valid entry.

    """
    try:
        raw_listing = msgspec.json.decode(body, type=RawListing)
    except RecursionError as error:  # nested too deeply, which msgspec reports by this error
        raise msgspec.ValidationError(str(error)) from None
    targets = [target for raw in raw_listing.targets if (target := _parse_target(raw)) is not None]
    if (raw_listing.all or complete) and not targets:
        raise msgspec.ValidationError("a complete list without a valid entry")
    return Listing(raw_listing.rev, targets, raw_listing.all), len(raw_listing.targets) - len(targets)


def _parse_target(raw: msgspec.Raw) -> Target | None:
    """Parse an entry; None if it is malformed and does not state that a backend is draining or gone."""
    with contextlib.suppress(ValueError):  # the base class of msgspec's errors, too
        target = msgspec.json.decode(raw, type=Target)
        if target.uid and (target.state == "Gone" or split(target.endpoint)[1] > 0):
            return target
    with contextlib.suppress(ValueError):
        draining = msgspec.json.decode(raw, type=DrainingEntry)
        if draining.uid and draining.state != "Ready":
            return Target(draining.uid, "", draining.state)
    return None


class EndpointDirectory:
    """The endpoints of the listed backends; translates discovery's lists into the scheduler's form."""

    def __init__(self, settings: api.Settings) -> None:
        self.endpoints: dict[str, str] = {}
        self.zones = {name: index for index, name in enumerate(settings.zones)}
        self.kinds = {name: index for index, name in enumerate(settings.kinds)}

    def endpoint(self, node: str) -> str | None:
        """Return a backend's endpoint, host:port; None if it is not listed."""
        return self.endpoints.get(node)

    def apply(self, listing: Listing, kind: api.ListKind) -> api.NodeList:
        """Record the endpoints of a list and return its translation."""
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
        # A backend in an unknown state counts as draining, so that it gets no requests. A zone or kind that is not in
        # the settings gets an index of its own, not that of the first one in the settings.
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
    """Return the seconds in an error's Retry-After header; 0.0 if there is none."""
    headers = error.headers if isinstance(error, aiohttp.ClientResponseError) else None
    try:
        return float(headers.get("Retry-After", "0")) if headers else 0.0
    except ValueError:
        return 0.0


class DiscoveryWatch:
    """The watch on discovery's list. It survives time-outs and errors; the last list stays in effect meanwhile."""

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
        self.log = log
        self.last_fault = ""  # the error of the most recent failed calls, "" after a success
        self.pacer = DiscoveryPacer(heads, random.Random(seed), pushed)
        self.task: asyncio.Task[None] | None = None
        # Set once the first list has arrived, or discovery is unavailable and there is a saved list to start from.
        self.first_answer = asyncio.Event()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            trust_env=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            headers={"Accept-Encoding": "identity"},
            auto_decompress=False,  # a few bytes could become any number
        )

    def follow(self, address: str, rev: int | None = None) -> None:
        """Follow the list at an address, from a known version or else from a complete list.

        The previous watch is cancelled at once, as its agent could keep it open without ever answering; versions of one
        agent mean nothing to another. The current list stays in effect until the new agent has sent one.
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
                # Every other error is handled: nothing would notice that the watch has ended.
                await asyncio.sleep(self._record_failure(error))
            else:
                self.pacer.record_answer()
                self._log_fault("")

    def _record_failure(self, error: BaseException) -> float:
        """Count and log a failed call; returns the backoff in seconds."""
        self.counters.add("discovery_errors")
        unavailable = isinstance(error, (aiohttp.ClientError, ConnectionError))
        if unavailable and self.directory.endpoints and not self.pacer.pushed:
            # A head that has a list does not wait for a newer one. With an agent on its machine it does: that one may
            # have the list the next moment.
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
        """Log a fault when it begins and when it ends; `fault` is "" after a success."""
        if fault != self.last_fault:
            self.last_fault = fault
            with contextlib.suppress(Exception):  # a failing log must not end the watch
                self.log(
                    f"discovery at {self.address} is failing, keeping the current list: {fault}{trace}"
                    if fault
                    else f"discovery at {self.address} has recovered"
                )

    async def _request(self, url: str) -> tuple[Listing, int]:
        wait_s, limit_s = self.pacer.next_timeouts(self.rev is not None, self.first_answer.is_set())
        if wait_s:
            url = f"{url}?since={self.rev}&timeout_ms={round(wait_s * 1000)}"
        async with asyncio.timeout(limit_s), self.session.get(url, allow_redirects=False) as response:
            response.raise_for_status()
            return parse_listing(await read_body(response, MAX_LISTING_BYTES), self.rev is None)

    async def _hedged_request(self, url: str) -> tuple[Listing, int]:
        """Send a request, and hedge it with further ones until one is answered."""
        calls: set[asyncio.Task[tuple[Listing, int]]] = set()
        pause_s = 0.0  # backoff before the next call after a failed one; open calls continue meanwhile
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
        listing, skipped_count = await (self._hedged_request(url) if self.pacer.hedges else self._request(url))
        self.counters.add("discovery_answers")
        self.counters.add("discovery_entries_left_out", skipped_count)
        # The answer to a request for the complete list is complete even if it is not marked as such.
        full = listing.all or self.rev is None
        if not full and self.rev is not None and listing.rev < self.rev:
            self.rev = None  # versions have been restarted, so only a complete list can be trusted
            return
        self.rev = None  # if applying the list fails, the next call requests a complete one
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
