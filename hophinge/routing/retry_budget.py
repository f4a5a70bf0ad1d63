"""Retry budgets: further attempts as a share of first ones, over a window that slides second by second."""

from __future__ import annotations

from hophinge.routing.records import RetryRule

WINDOW_SLOTS = 10  # slots
SLOT_US = 1_000_000


class RetryBudget:
    """First and further attempts of the last ten seconds."""

    __slots__ = ("current_slot", "denied", "first_attempts", "retries", "rule")

    def __init__(self, rule: RetryRule) -> None:
        self.rule = rule
        self.first_attempts = [0] * WINDOW_SLOTS
        self.retries = [0] * WINDOW_SLOTS
        self.current_slot = 0
        self.denied = 0

    def _slot(self, now_us: int) -> int:
        slot = now_us // SLOT_US
        if slot > self.current_slot:
            for gone in range(max(self.current_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
                self.first_attempts[gone % WINDOW_SLOTS] = self.retries[gone % WINDOW_SLOTS] = 0
            self.current_slot = slot
        return self.current_slot % WINDOW_SLOTS

    def record_first_attempt(self, now_us: int) -> None:
        """Count a first attempt."""
        self.first_attempts[self._slot(now_us)] += 1

    def allows_retry(self, now_us: int) -> bool:
        """Tell whether one more further attempt stays within the share."""
        self._slot(now_us)
        rule = self.rule
        allowed = rule.budget_share < 0 or sum(self.retries) + 1 <= rule.min_retries + rule.budget_share * sum(
            self.first_attempts
        )
        self.denied += not allowed
        return allowed

    def record_retry(self, now_us: int) -> None:
        """Count a further attempt."""
        self.retries[self._slot(now_us)] += 1


class RetryBudgets:
    """The budgets by form; their counts live on when a version changes the form's figures."""

    def __init__(self) -> None:
        self.budgets: dict[str, RetryBudget] = {}

    def for_rule(self, rule: RetryRule) -> RetryBudget:
        """Tell a form's budget."""
        budget = self.budgets.get(rule.key)
        if budget is None:
            budget = self.budgets[rule.key] = RetryBudget(rule)
        return budget

    def set_rules(self, rules: dict[str, RetryRule]) -> None:
        """Take up a version's forms."""
        self.budgets = {key: budget for key, budget in self.budgets.items() if key in rules}
        for key, budget in self.budgets.items():
            budget.rule = rules[key]
