"""Predicts when a stage without serving instances will accept requests again.

Without I/O; times are seconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from hophinge.fleet.placement.node import Node
from hophinge.fleet.placement.stages import can_refill
from hophinge.fleet.registry.instance import READY, SWITCHING

ORDER_DELAY_S = 0.8  # from the loss of a stage's last instance until another instance starts to switch
SWITCH_SLACK_S = 0.3  # beyond the configured duration of a switch: requests in flight end first
OVERDUE_RETRY_S = 0.3  # before an overdue switch is checked again
MAX_OVERDUE_S = 4.0  # after which an overdue switch is no longer expected to finish


class StageState(Enum):
    """Why a stage accepts no requests. The values appear in the reasons of rejections."""

    FULL = "stage full"  # the instances of the stage have no capacity for this head
    SWITCHING = "stage switching"  # the stage has no instance, and one is switching to it
    EMPTY = "stage empty"  # the stage has no instance


@dataclass(frozen=True, slots=True)
class StageOutlook:
    """The state of a stage, and when its first instance is expected; None if none is expected."""

    state: StageState
    ready_at: float | None = None


def predict_stage(
    now: float, stage: str, members: Collection[Node], others: Collection[Node], stage_switch_s: float | None
) -> StageOutlook:
    """Predict when a stage will accept requests.

    Args:
        now: The current time.
        stage: The stage.
        members: The instances of the stage.
        others: The instances of the other stage, from which the stage can be refilled.
        stage_switch_s: The duration of a stage change; None if it is not known.

    """
    if any(node.is_serving(now) for node in members):
        return StageOutlook(StageState.FULL)
    if stage_switch_s is None:
        return StageOutlook(StageState.EMPTY)
    arrivals = [
        node.switching_since + stage_switch_s + SWITCH_SLACK_S
        for node in others
        if node.instance.state == SWITCHING and node.switching_since is not None
    ]
    expected = [ready_at for ready_at in arrivals if now - ready_at <= MAX_OVERDUE_S]
    if expected:
        return StageOutlook(StageState.SWITCHING, max(min(expected), now + OVERDUE_RETRY_S))
    if can_refill(stage, sum(node.instance.state == READY for node in others)):
        return StageOutlook(StageState.EMPTY, now + ORDER_DELAY_S + stage_switch_s + SWITCH_SLACK_S)
    return StageOutlook(StageState.EMPTY)
