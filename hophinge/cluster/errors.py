"""Errors of the cluster's configuration, its keys and its entries."""

from __future__ import annotations

from typing import ClassVar

from hophinge.core.errors import HophingeError


class NameTakenError(HophingeError):
    """An older process uses the same member name; this process has stepped down."""

    code: ClassVar[str] = "member-name-taken"
    remedy: ClassVar[str] = "Give this process a name of its own in [cluster], or end the other, and start it again."


class EntryRefusedError(HophingeError):
    """An entry of this member is too large or exceeds the limit on entries; nothing was changed."""

    code: ClassVar[str] = "entry-refused"
    remedy: ClassVar[str] = "Raise entries or entry_bytes of [cluster] on all members, or publish less."


class KeysUnusableError(HophingeError):
    """The key file cannot be read or holds no valid keys."""

    code: ClassVar[str] = "cluster-keys-unusable"
    remedy: ClassVar[str] = "Write one key a line to the key file, the newest first, at most two, 16 to 64 bytes each."


class ClusterUnusableError(HophingeError):
    """A setting of the `[cluster]` section is invalid or cannot be applied on this machine."""

    code: ClassVar[str] = "cluster-unusable"
    remedy: ClassVar[str] = "Mend the setting of [cluster] that is named and start the process again."
