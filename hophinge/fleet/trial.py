"""The policy of a trial: read from a file in the working directory where there is one. Deployments have none."""

from __future__ import annotations

import json
from pathlib import Path

from loguru import logger

from hophinge.fleet.placement.policy import PlacementPolicy, fields_by_trial_name

TRIAL_PATH = Path("trial-policy.json")  # ignored by git


def trial_policy(path: Path = TRIAL_PATH) -> PlacementPolicy:
    """Return the trial's policy, or the one in service where there is no trial.

    Raises:
        ValueError: The file cannot be used (pydantic's ValidationError is one): a trial must not run with less.

    """
    if not path.exists():
        return PlacementPolicy()
    from pydantic import TypeAdapter  # loaded only in trials: the import takes long

    values = json.loads(path.read_bytes())
    field_names = fields_by_trial_name()
    unknown = values.keys() - field_names.keys()
    if unknown:
        raise ValueError(f"{path}: no such mechanism: {', '.join(sorted(unknown))}")
    renamed = json.dumps({field_names[name]: value for name, value in values.items()})
    policy = TypeAdapter(PlacementPolicy).validate_json(renamed)
    logger.info("trial policy loaded policy={}", policy)
    return policy
