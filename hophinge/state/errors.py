"""Errors of a ledger file; the codes are listed in docs/operate/errors.md."""

from __future__ import annotations

from hophinge.core.errors import HophingeError


class LedgerError(HophingeError):
    """A ledger file that cannot be used; the text says why."""

    code = "ledger-unusable"
    remedy = "Look at what is said of the file; put a copy that `hophinge audit verify` finds whole in its place."


class BusyError(LedgerError):
    """Another process holds the write lock; the change may be retried."""

    code = "ledger-busy"
    remedy = "Ask again; if it stays so, look which other process holds the ledger's file."


class FullError(LedgerError):
    """The disk is full or read-only; nothing was changed."""

    code = "ledger-full"
    remedy = "Make room on the ledger's disk, or make it writable, and ask again; nothing was changed."
