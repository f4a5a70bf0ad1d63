"""Errors of scorers before a head serves, and the one that blocks it while it serves.

All other errors of a scorer in use are counted instead.
"""

from __future__ import annotations

from hophinge.core.errors import HophingeError


class ScorerUnknownError(HophingeError, ValueError):
    """The operator's file names a scorer that is not built in, and that no installed package provides."""

    code = "scorer-unknown"
    remedy = "Install the package that brings the scorer, or mend its name under scorers in [scoring]."


class ScorerUnusableError(HophingeError, ValueError):
    """A package's scorer cannot be loaded, or two have the same name."""

    code = "scorer-unusable"
    remedy = "Mend, upgrade or remove the package that is named, or take its scorer out of [scoring]."


class ScorerInterfaceError(HophingeError, ValueError):
    """A scorer was written for another version of the interface."""

    code = "scorer-interface"
    remedy = "Install a release of the scorer's package that was made for this version of the interface."


class ScorerParametersError(HophingeError, ValueError):
    """A scorer's parameters do not match the schema that the scorer declares."""

    code = "scorer-parameters"
    remedy = "Mend the key that is named in the operator's file, or take it out for its default."


class ScorerHungError(HophingeError):
    """A scorer did not return; the head was blocked until it was interrupted."""

    code = "scorer-hung"
    remedy = "Take the scorer out of [scoring], or upgrade its package, and restart the head when it suits."
