"""When a head asks discovery again, how long it waits, and what it holds for broken: decided without I/O.

One discovery serves all heads in turn. A call that it turns away costs it about as much as one that it serves, so
heads that all come back within a second keep it busy with nothing but refusals, and nobody hears a list again. Each
head therefore stays away for its part of what the fleet may ask, drawn by lot so that equal heads spread.

What discovery tells counts as told 6 s after it could be reached, whatever became of the calls before. So a pause, a
call that is given up and the one after it together end within that; who was refused five times in a row, in a fleet too
large for that pace, alone stays away for longer, as else nobody in it would ever be served again.

Where lists are pushed, an agent on the head's own machine answers at once and at no cost, and what it has counts as
told at once, also right after an outage. There the waits are short, and beside a call that says nothing others go out.
"""

from __future__ import annotations

import random

FIRST_PAUSE_S = 0.02  # after an error on the wire; well under the 200 ms within which a watch goes on
LONGEST_PAUSE_S = 1.0  # after such errors in a row
CHAINED_S = 0.2  # the protocol's time for the next call of a watch
JITTER = (0.5, 1.5)  # parts of a pause
FIRST_TURNED_S = 4.0  # the first pause of one turned away at most
TURNED_S = 4.75  # those after it: 5.5 s with their lot, which leaves half a second for the call itself
TURNED_JITTER = (0.85, 1.15)  # parts of such a pause: narrow, as what ends late counts and what ends early costs
TURNED_CALLS = 5  # of one head in a row that keep to it, 16 s at least; then discovery is not to be reached
BORNE = 9.5  # calls a second of all heads at that pace from which a discovery that serves 7.4 recovers
LONGEST_ADVICE_S = 3.6  # of a Retry-After that is kept to: 5.4 s with its lot
LIST_S = 2.5  # for a list asked for; over a queue's patience of 2 s, as who gives up begins at its end
SHORT_S, LONG_S = 2.0, 20.0  # a watch's wait, by what all heads' calls together cost discovery
SPARE_S = 1.5  # beyond the wait that a watch states; what it had to tell counts as told after 2 s
FIRST_WATCH_S = 0.1  # of the first: who has the list already is ready after it
PUSHED_WATCH_S, PUSHED_SPARE_S, PUSHED_LIST_S = 1.0, 0.3, 1.0  # of an agent beside, which has no queue
PUSHED_PAUSE_S = 0.1  # the longest after errors of such an agent: under every drain's grace
BESIDE_S = 0.1  # after which another call goes out beside those that say nothing
MAX_BESIDE = 10  # such calls at once; each waits `PUSHED_LIST_S`


class CallPace:
    """The pauses and waits of one head's calls to discovery."""

    def __init__(self, heads: int, lots: random.Random, pushed: bool = False) -> None:
        """Set up for so many heads that share one discovery; `lots` draws the jitter; `pushed`: an agent answers."""
        self.lots, self.pushed = lots, pushed
        # Pauses whose mean is half a chained call's time for each head let two calls through in that time.
        self.first_turned_s = max(FIRST_PAUSE_S, min(FIRST_TURNED_S, heads * CHAINED_S / 2))
        self.longest_turned_s = min(TURNED_S, max(LONGEST_PAUSE_S, heads * CHAINED_S * 2))
        self.crowded_turned_s = heads * CHAINED_S * 2 if heads / TURNED_S > BORNE else self.longest_turned_s
        if pushed:  # other heads ask agents of their own
            self.first_turned_s = self.longest_turned_s = self.crowded_turned_s = PUSHED_PAUSE_S
        # Waits that end sooner find silence sooner, and cost discovery as many calls more.
        self.watch_s = PUSHED_WATCH_S if pushed else min(LONG_S, max(SHORT_S, heads * CHAINED_S / 2))
        self.longest_pause_s = PUSHED_PAUSE_S if pushed else LONGEST_PAUSE_S
        self.errors = self.turned = 0
        self.silent = pushed  # until the next answer, which may come late after an outage

    @property
    def beside(self) -> bool:
        """Tell whether calls go out beside each other now: an agent that costs nothing has said nothing."""
        return self.pushed and self.silent

    def waits(self, held: bool, heard: bool) -> tuple[float, float]:
        """Tell the wait in seconds that the next call asks for, 0 where it asks for the whole list, and its limit.

        `held`: there is a version to ask from; `heard`: there has been an answer since the start.
        """
        limit = PUSHED_LIST_S if self.pushed else LIST_S
        if not held:
            return 0.0, limit
        if not heard or self.beside:
            return FIRST_WATCH_S, FIRST_WATCH_S + limit
        # After a call that came to nothing the next may as well: no long wait before discovery has answered again.
        wait = self.watch_s if not self.silent else min(self.watch_s, SHORT_S)
        return wait, wait + (PUSHED_SPARE_S if self.pushed else SPARE_S)

    def answered(self) -> None:
        """Note an answer: the next error begins anew."""
        self.errors = self.turned = 0
        self.silent = False

    def begun(self) -> None:
        """Note that another address is asked from now on: the trouble of the last one says nothing of it."""
        self.errors = self.turned = 0
        self.silent = self.pushed

    def turned_away(self, advice_s: float = 0.0) -> float:
        """Tell the pause in seconds after a call that was turned away, with the Retry-After that came with it."""
        pause = min(self.longest_turned_s, self.first_turned_s * 2.0 ** min(self.turned, 16))
        self.turned += 1
        self.silent = True
        if self.turned > TURNED_CALLS:
            pause = min(self.crowded_turned_s, TURNED_S * 2.0 ** min(self.turned - TURNED_CALLS, 16))
        advice = 0.0 if self.pushed else min(LONGEST_ADVICE_S, max(0.0, advice_s))
        return max(pause * self.lots.uniform(*TURNED_JITTER), advice * self.lots.uniform(1, JITTER[1]))

    def failed(self) -> float:
        """Tell the pause in seconds after an error on the wire, a silence or an answer that is no list."""
        pause = min(self.longest_pause_s, FIRST_PAUSE_S * 2.0 ** min(self.errors, 16))
        self.errors += 1
        self.silent = True
        return pause * self.lots.uniform(*JITTER)
