"""A trial's policy: read from a file in the working directory, where there is one. Deployments have none."""

from __future__ import annotations

import json
from pathlib import Path

from hophinge.fleet import log
from hophinge.fleet.placement.policy import PlacementPolicy, fields_by_trial_name

TRIAL_PATH = Path("trial-policy.json")  # ignored by git


def trial_policy(path: Path = TRIAL_PATH) -> PlacementPolicy:
    """Read the policy of a trial; without a file, return the one in service.

    Raises:
        ValueError: the file cannot be used (pydantic's ValidationError is one): a trial must not run with less.

    """
    if not path.exists():
        return PlacementPolicy()
    from pydantic import TypeAdapter  # not loaded in service: it takes a while

    values = json.loads(path.read_bytes())
    field_names = fields_by_trial_name()
    unknown = values.keys() - field_names.keys()
    if unknown:
        raise ValueError(f"{path}: no such mechanism: {', '.join(sorted(unknown))}")
    renamed = json.dumps({field_names[name]: value for name, value in values.items()})
    policy = TypeAdapter(PlacementPolicy).validate_json(renamed)
    log.note(f"trial: {policy}")
    return policy
