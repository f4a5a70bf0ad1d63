"""Caches validation results by the digest of the document: a document sent again need not be validated again."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b

from expression import Ok, Result

from hophinge.fleet.configuration.document import validate_document
from hophinge.fleet.configuration.findings import Findings

MAX_DOCUMENTS = 16  # the operator sends at most 8 documents at once
DIGEST_BYTES = 16

ValidationResult = Result[int, Findings]  # the version of a valid document, or its findings


class ValidationCache:
    """The validation results of the documents last used at one control member."""

    def __init__(self) -> None:
        self._results: OrderedDict[bytes, ValidationResult] = OrderedDict()

    def validate(self, document: bytes) -> ValidationResult:
        """Return the version of a document, or the findings that make it invalid."""
        digest = _digest(document)
        result = self._results.get(digest)
        if result is None:
            result = validate_document(document).map(lambda valid: valid.version)
        self._store(digest, result)
        return result

    def add_committed(self, document: bytes, version: int) -> None:
        """Add a committed document as valid: a control member accepted it, maybe under the rules of another release."""
        self._store(_digest(document), Ok(version))

    def _store(self, digest: bytes, result: ValidationResult) -> None:
        self._results[digest] = result
        self._results.move_to_end(digest)
        if len(self._results) > MAX_DOCUMENTS:
            self._results.popitem(last=False)


def _digest(document: bytes) -> bytes:
    return blake2b(document, digest_size=DIGEST_BYTES).digest()
