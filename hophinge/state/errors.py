"""Errors of a ledger file; the codes are listed in docs/operate/errors.md."""

from __future__ import annotations

from hophinge.core.errors import HophingeError


class LedgerError(HophingeError):
    """The ledger file cannot be used; the message gives the reason."""

    code = "ledger-unusable"
    remedy = "Check the ledger file that the message names; replace it with a copy that passes `hophinge audit verify`."


class BusyError(LedgerError):
    """Another process holds the file's write lock; the change may be retried."""

    code = "ledger-busy"
    remedy = "Retry; if the error persists, find the other process that keeps the ledger file locked."


class FullError(LedgerError):
    """The disk is full or read-only; nothing was changed."""

    code = "ledger-full"
    remedy = "Free space on the ledger's disk, or make it writable, and retry; nothing was changed."
