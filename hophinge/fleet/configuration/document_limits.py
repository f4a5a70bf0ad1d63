"""How large a configuration document may be for the machine that validates it."""

from __future__ import annotations

from dataclasses import dataclass

MAX_BYTES = 8 << 20  # above the operator's own limit on a configuration
MEMORY_BYTES_PER_BYTE = 36  # of the machine, for each byte of a document
MEMORY_BYTES_PER_VALUE = 400  # of the machine, for each value in a document: twice what a validated one takes
VALUE_BEGINNINGS = (b",", b"[", b"{")  # one of them stands before each value that is not the only one


@dataclass(frozen=True, slots=True)
class DocumentLimits:
    """Limits on a document; a short one may hold so many values that parsing it takes all memory."""

    max_bytes: int
    max_values: int

    @classmethod
    def of_machine(cls, memory_bytes: int) -> DocumentLimits:
        """Return the limits on a machine with this memory."""
        return cls(min(MAX_BYTES, memory_bytes // MEMORY_BYTES_PER_BYTE), memory_bytes // MEMORY_BYTES_PER_VALUE)

    def has_too_many_values(self, data: bytes) -> bool:
        """Return whether a document may hold more values than the limit; those in its strings count, too."""
        return sum(data.count(beginning) for beginning in VALUE_BEGINNINGS) > self.max_values


DEFAULT_DOCUMENT_LIMITS = DocumentLimits.of_machine(300 << 20)
