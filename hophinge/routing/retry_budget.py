"""Retry budgets: bound retries to a share of the first attempts within a sliding window."""

from __future__ import annotations

from hophinge.routing.records import RetryRule

WINDOW_SLOTS = 10
SLOT_US = 1_000_000


class RetryBudget:
    """First attempts and retries of the last `WINDOW_SLOTS` seconds under one rule."""

    __slots__ = ("current_slot", "denied", "first_attempts", "retries", "rule")

    def __init__(self, rule: RetryRule) -> None:
        self.rule = rule
        self.first_attempts = [0] * WINDOW_SLOTS
        self.retries = [0] * WINDOW_SLOTS
        self.current_slot = 0
        self.denied = 0

    def _advance(self, now_us: int) -> int:
        """Clear the slots that have left the window, and return the index of the current slot."""
        slot = now_us // SLOT_US
        if slot > self.current_slot:
            for expired in range(max(self.current_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
                self.first_attempts[expired % WINDOW_SLOTS] = 0
                self.retries[expired % WINDOW_SLOTS] = 0
            self.current_slot = slot
        return self.current_slot % WINDOW_SLOTS

    def record_first_attempt(self, now_us: int) -> None:
        """Count a first attempt."""
        self.first_attempts[self._advance(now_us)] += 1

    def allows_retry(self, now_us: int) -> bool:
        """Return whether the budget allows one more retry; denials are counted."""
        self._advance(now_us)
        rule = self.rule
        is_allowed = rule.budget_share < 0 or sum(self.retries) + 1 <= rule.min_retries + rule.budget_share * sum(
            self.first_attempts
        )
        self.denied += not is_allowed
        return is_allowed

    def record_retry(self, now_us: int) -> None:
        """Count a retry."""
        self.retries[self._advance(now_us)] += 1


class RetryBudgets:
    """Retry budgets by the key of their rule; counts are kept when a version changes the rule."""

    def __init__(self) -> None:
        self.budgets: dict[str, RetryBudget] = {}

    def for_rule(self, rule: RetryRule) -> RetryBudget:
        """Return the budget of a rule; it is created on first use."""
        budget = self.budgets.get(rule.key)
        if budget is None:
            budget = self.budgets[rule.key] = RetryBudget(rule)
        return budget

    def set_rules(self, rules: dict[str, RetryRule]) -> None:
        """Apply the rules of a version, by key; budgets of removed rules are dropped."""
        self.budgets = {key: budget for key, budget in self.budgets.items() if key in rules}
        for key, budget in self.budgets.items():
            budget.rule = rules[key]
