"""What can be wrong with a member, its keys and its entries."""

from __future__ import annotations

from typing import ClassVar

from hophinge.core.errors import HophingeError


class NameTakenError(HophingeError):
    """Another process that has run for longer bears this one's name; this one has stepped back."""

    code: ClassVar[str] = "member-name-taken"
    remedy: ClassVar[str] = "Give this process a name of its own in [cluster], or end the other, and start it again."


class EntryRefusedError(HophingeError):
    """An own entry that is too large, or one too many; nothing was changed."""

    code: ClassVar[str] = "entry-refused"
    remedy: ClassVar[str] = "Raise entries or entry_bytes of [cluster] on all members, or publish less."


class KeysUnusableError(HophingeError):
    """A key file that cannot be read or holds no usable keys."""

    code: ClassVar[str] = "cluster-keys-unusable"
    remedy: ClassVar[str] = "Write one key a line to the key file, the newest first, at most two, 16 to 64 bytes each."


class ClusterUnusableError(HophingeError):
    """A `[cluster]` section that cannot be carried out here."""

    code: ClassVar[str] = "cluster-unusable"
    remedy: ClassVar[str] = "Mend the setting of [cluster] that is named and start the process again."
