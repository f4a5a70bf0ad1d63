"""Retry budgets: further attempts as a share of first ones, over a window that slides second by second."""

from __future__ import annotations

from hophinge.routing.records import Retries

WINDOW = 10  # slots
SLOT_US = 1_000_000


class Budget:
    """First and further attempts of the last ten seconds."""

    __slots__ = ("at", "denied", "first", "further", "rule")

    def __init__(self, rule: Retries) -> None:
        self.rule = rule
        self.first = [0] * WINDOW
        self.further = [0] * WINDOW
        self.at = 0
        self.denied = 0

    def _slot(self, now_us: int) -> int:
        slot = now_us // SLOT_US
        if slot > self.at:
            for gone in range(max(self.at + 1, slot - WINDOW + 1), slot + 1):
                self.first[gone % WINDOW] = self.further[gone % WINDOW] = 0
            self.at = slot
        return self.at % WINDOW

    def took(self, now_us: int) -> None:
        """Count a first attempt."""
        self.first[self._slot(now_us)] += 1

    def allows(self, now_us: int) -> bool:
        """Tell whether one more further attempt stays within the share."""
        self._slot(now_us)
        rule = self.rule
        allowed = rule.budget < 0 or sum(self.further) + 1 <= rule.free + rule.budget * sum(self.first)
        self.denied += not allowed
        return allowed

    def repeated(self, now_us: int) -> None:
        """Count a further attempt."""
        self.further[self._slot(now_us)] += 1


class Budgets:
    """The budgets by form; their counts live on when a version changes the form's figures."""

    def __init__(self) -> None:
        self.budgets: dict[str, Budget] = {}

    def of(self, rule: Retries) -> Budget:
        """Tell a form's budget."""
        budget = self.budgets.get(rule.key)
        if budget is None:
            budget = self.budgets[rule.key] = Budget(rule)
        return budget

    def change(self, rules: dict[str, Retries]) -> None:
        """Take up a version's forms."""
        self.budgets = {key: budget for key, budget in self.budgets.items() if key in rules}
        for key, budget in self.budgets.items():
            budget.rule = rules[key]
