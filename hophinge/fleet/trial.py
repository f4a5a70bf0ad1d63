"""Reads an experimental placement policy from the file given as `--trial FILE` on the command line.

The file is a JSON object with fields of `PlacementPolicy`. Deployments run without this option.
"""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
from dataclasses import fields
from pathlib import Path

from loguru import logger

from hophinge.fleet.placement.policy import PlacementPolicy

TRIAL_OPTION = "--trial"


class TrialError(Exception):
    """The command line or the policy file is invalid: a trial must not run with another policy than requested."""


def requested_policy(arguments: Sequence[str]) -> PlacementPolicy:
    """Return the policy requested on the command line, or the default policy if there are no arguments.

    Raises:
        TrialError: The command line has other arguments, or the file is invalid.

    """
    if not arguments:
        return PlacementPolicy()
    if len(arguments) != 2 or arguments[0] != TRIAL_OPTION:
        raise TrialError(f"unknown arguments: {' '.join(arguments)}; only {TRIAL_OPTION} FILE is supported")
    path = Path(arguments[1])
    policy = read_policy(path)
    logger.info("trial policy in force file={} policy={}", path, policy)
    return policy


def read_policy(path: Path) -> PlacementPolicy:
    """Read a policy file.

    Raises:
        TrialError: The file cannot be read, belongs to another user, has unknown fields or invalid values.

    """
    from pydantic import TypeAdapter, ValidationError  # imported only in trials, because the import is slow

    try:
        if path.stat().st_uid != os.geteuid():
            raise TrialError(f"{path}: the file belongs to another user")
        values = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        raise TrialError(f"{path}: {error}") from error
    if not isinstance(values, dict):
        raise TrialError(f"{path}: the file is not a JSON object")
    unknown = values.keys() - {field.name for field in fields(PlacementPolicy)}
    if unknown:
        raise TrialError(f"{path}: unknown fields: {', '.join(sorted(unknown))}")
    try:
        return TypeAdapter(PlacementPolicy).validate_json(json.dumps(values))
    except ValidationError as error:
        findings = "; ".join(f"{entry['loc'][-1]}: {entry['msg']}" for entry in error.errors())
        raise TrialError(f"{path}: {findings}") from error
