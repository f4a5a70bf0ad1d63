"""All mutants; as a plugin of pytest (`-p tests.mutants`), the one that the environment names replaces its module."""

from __future__ import annotations

import os

from tests.acknowledgement_mutants import ACKNOWLEDGEMENT_MUTANTS
from tests.coordination_mutants import COORDINATION
from tests.counter_mutants import COUNTER_MUTANTS
from tests.decision_mutants import DECISIONS
from tests.evacuation_mutants import EVACUATION_MUTANTS
from tests.forwarding_mutants import FORWARDING_MUTANTS
from tests.mutant import Mutant, install
from tests.failure_mutants import FAILURE_MUTANTS
from tests.warmup_mutants import WARMUP_MUTANTS

CHOSEN = "HOPHINGE_MUTANT"
MUTANTS = (
    *ACKNOWLEDGEMENT_MUTANTS,
    *COORDINATION,
    *COUNTER_MUTANTS,
    *DECISIONS,
    *FORWARDING_MUTANTS,
    *FAILURE_MUTANTS,
    *EVACUATION_MUTANTS,
    *WARMUP_MUTANTS,
)


def chosen() -> Mutant | None:
    """Tell the mutant that the environment names."""
    name = os.environ.get(CHOSEN)
    return next(one for one in MUTANTS if one.name == name) if name else None


_mutant = chosen()
if _mutant is not None:
    install(_mutant)
