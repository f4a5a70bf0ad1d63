"""What can be wrong with a scorer before a head serves, and the one mistake that holds it up while it serves.

All other mistakes of a scorer at work are counted instead.
"""

from __future__ import annotations

from hophinge.core.errors import HophingeError


class ScorerUnknownError(HophingeError, ValueError):
    """The operator's file names a scorer that is not built in, and that no installed package brings."""

    code = "scorer-unknown"
    remedy = "Install the package that brings the scorer, or mend its name under scorers in [scoring]."


class ScorerUnusableError(HophingeError, ValueError):
    """A package's scorer cannot be loaded, or two bear one name."""

    code = "scorer-unusable"
    remedy = "Mend, upgrade or remove the package that is named, or take its scorer out of [scoring]."


class ScorerInterfaceError(HophingeError, ValueError):
    """A scorer was written for another version of the interface."""

    code = "scorer-interface"
    remedy = "Install a release of the scorer's package that was made for this version of the interface."


class ScorerParametersError(HophingeError, ValueError):
    """A scorer's parameters do not have the form that the scorer states."""

    code = "scorer-parameters"
    remedy = "Mend the key that is named in the operator's file, or take it out for its default."


class ScorerHungError(HophingeError):
    """A scorer at work did not return; the head stood still until it was interrupted."""

    code = "scorer-hung"
    remedy = "Take the scorer out of [scoring], or upgrade its package, and restart the head when it suits."
