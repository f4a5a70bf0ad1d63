"""Errors of scorers at the start of a head, and of a scorer that blocks a running head.

All other failures of a running scorer are counted and not raised.
"""

from __future__ import annotations

from hophinge.core.errors import HophingeError


class ScorerUnknownError(HophingeError, ValueError):
    """The operator's file names a scorer that is neither built in nor provided by an installed package."""

    code = "scorer-unknown"
    remedy = "Install the package that provides the scorer, or correct its name under scorers in [scoring]."


class ScorerUnusableError(HophingeError, ValueError):
    """A package's scorer cannot be loaded, or several packages provide one of the same name."""

    code = "scorer-unusable"
    remedy = "Repair, upgrade or remove the named package, or remove its scorer from [scoring]."


class ScorerInterfaceError(HophingeError, ValueError):
    """A scorer was written for another version of the interface."""

    code = "scorer-interface"
    remedy = "Install a release of the scorer's package that was made for this version of the interface."


class ScorerParametersError(HophingeError, ValueError):
    """A scorer's parameters do not match the schema that the scorer declares."""

    code = "scorer-parameters"
    remedy = "Correct the named key in the operator's file, or remove it to use its default."


class ScorerHungError(HophingeError):
    """A scorer did not return; the head was blocked until it was interrupted."""

    code = "scorer-hung"
    remedy = "Take the scorer out of [scoring], or upgrade its package, and restart the head when convenient."
