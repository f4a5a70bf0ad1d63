"""One instance as a data plane sees it: its book, what others sent there, the prompt parts it keeps, its failures."""

from __future__ import annotations

from collections import OrderedDict

from hophinge.core.choice.books import Book
from hophinge.core.interface.nodes import NodeEntry, Phase
from hophinge.fleet.placement.hints import Report
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.placement.queue import WorkQueue
from hophinge.fleet.registry.instance import LOST, READY, Instance

MICROSECONDS = 1_000_000
REST_S = 0.15  # rest of an instance after a failure; doubles while it goes on failing
LONGEST_REST_S = 2.4
SUSPECTED_S = 0.7  # rest of an instance that did not answer another member
HEARD_S = 0.3  # an instance heard here so lately is not suspected
EVIDENCE_S = 5.0  # an answer here so lately shows that an instance lives
ROOMY = 0.6  # part of its memory up to which an instance admits requests without a wait
FILLED_US = 3_000_000.0  # what a request waits at an instance that is full beyond that by all of its memory
WAITING_US = 40_000.0  # what each request that waits there already adds


class Cache:
    """The prompt parts believed to be kept at an instance, least recently used first."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens  # that fit
        self.used = 0
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.expected: dict[str, int] = {}  # parts that are not read yet, and the job that is to read them

    def remember(self, parts: tuple[tuple[str, int], ...]) -> None:
        """Parts were read, or are going to be read, there."""
        for part, tokens in parts:
            self.used += tokens - self.parts.pop(part, 0)
            self.parts[part] = tokens
        while self.used > self.tokens and len(self.parts) > len(parts):
            part, tokens = self.parts.popitem(last=False)
            self.expected.pop(part, None)
            self.used -= tokens

    def expect(self, parts: tuple[tuple[str, int], ...], job: int) -> None:
        """Parts are going to be read there by a job."""
        new = [part for part, _ in parts if part not in self.parts]
        self.remember(parts)
        self.expected.update((part, job) for part in new if part in self.parts)

    def confirm(self, job: int) -> None:
        """A job has read its parts."""
        self.expected = {part: reader for part, reader in self.expected.items() if reader != job}

    def cancel(self, job: int) -> None:
        """A job will not read its parts: those that were not there before are not there."""
        for part in [part for part, reader in self.expected.items() if reader == job]:
            del self.expected[part]
            self.used -= self.parts.pop(part, 0)

    def cached(self, prompt: Prompt) -> int:
        """Tell how many of a prompt's first tokens are kept."""
        found = 0
        for part, tokens in prompt.parts:
            if part not in self.parts:
                break
            found += tokens
        return found


class Node:
    """An instance, and what was learned of it here."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.book = Book(NodeEntry(instance.identity, 0, 0, Phase.ON, 1.0, 0))
        self.queue = WorkQueue()  # the work of all heads there
        self.streams = 0  # answers from here that have begun and not ended
        self.cache = Cache(0)
        self.unit_us: float | None = None  # learned time per unit
        self.consecutive_failures = 0
        self.rest_until = 0.0
        self.answered_at = float("-inf")
        self.report: Report | None = None
        self.sent_since = 0  # tokens of memory that requests placed since that report hold

    def serves(self, now: float) -> bool:
        """Tell whether it takes new requests; one that answers here is not lost, whatever the core has heard."""
        state = self.instance.state
        return state == READY or (state == LOST and now - self.answered_at <= EVIDENCE_S)

    def drop(self, job: int) -> None:
        """A job will not be worked on."""
        found = self.queue.find(job)
        if found is not None:
            self.queue.drop(found)
        self.cache.cancel(job)

    @property
    def out(self) -> int:
        """Tell how many requests it has from here."""
        return len(self.book.slots) + self.streams

    def reported(self, now_us: float, report: Report, mean_us: float) -> None:
        """Take what the instance told of itself; what was reckoned of its queue is corrected by it."""
        self.report, self.sent_since = report, 0
        self.queue.reported(now_us, report.waiting, mean_us)

    def running(self) -> int:
        """Tell how many answers are being made there, where the instance tells it of a decode stage."""
        return self.report.running if self.report is not None and self.instance.stage == "decode" else 0

    def crowding_us(self, tokens: int) -> float:
        """Tell how long a request that holds so many tokens is likely to wait for memory there."""
        report = self.report
        if report is None or report.total <= 0:
            return 0.0
        filled = (report.used + self.sent_since + tokens) / report.total
        return max(0.0, filled - ROOMY) * FILLED_US + report.waiting * WAITING_US

    def rests(self, now: float) -> bool:
        """Tell whether it is spared after a failure."""
        return now < self.rest_until

    def failed(self, now: float) -> None:
        """An attempt failed here; what it answered before is no evidence of life any more."""
        self.answered_at = float("-inf")
        self.rest_until = now + min(LONGEST_REST_S, REST_S * 2**self.consecutive_failures)
        self.consecutive_failures += 1

    def suspected(self, now: float) -> None:
        """Another member had no answer in time; what was heard here lately says more."""
        if now - self.answered_at > HEARD_S:
            self.rest_until = max(self.rest_until, now + SUSPECTED_S)

    def answered(self, now: float) -> None:
        """An attempt was served here."""
        self.consecutive_failures = 0
        self.rest_until = 0.0
        self.answered_at = now
