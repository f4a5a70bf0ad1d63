"""A trial's policy: read from a file in the working directory, where there is one. Deployments have none."""

from __future__ import annotations

import json
from dataclasses import fields
from pathlib import Path

from hophinge.fleet import log
from hophinge.fleet.placement.policy import Policy

TRIAL_PATH = Path("trial-policy.json")  # ignored by git


def trial_policy(path: Path = TRIAL_PATH) -> Policy:
    """Read the policy of a trial, or tell the one in service.

    Raises ValueError (pydantic's ValidationError is one) where the file can't be used: a trial must not run with less.
    """
    if not path.exists():
        return Policy()
    from pydantic import TypeAdapter  # not loaded in service: it takes a while

    text = path.read_bytes()
    unknown = json.loads(text).keys() - {field.name for field in fields(Policy)}
    if unknown:
        raise ValueError(f"{path}: no such mechanism: {', '.join(sorted(unknown))}")
    policy = TypeAdapter(Policy).validate_json(text)
    log.note(f"trial: {policy}")
    return policy
