"""Remembers documents that were judged: one that is sent again, or that is committed, is known by its digest."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b

from expression import Ok, Result

from hophinge.fleet.configuration.document import validate_document
from hophinge.fleet.configuration.findings import Findings

MAX_DOCUMENTS = 16  # the operator sends at most eight at once
DIGEST_BYTES = 16

Judgement = Result[int, Findings]  # the version of a valid document


class JudgedDocuments:
    """The judgements of the latest documents at one control member."""

    def __init__(self) -> None:
        self._judgements: OrderedDict[bytes, Judgement] = OrderedDict()

    def judge(self, document: bytes) -> Judgement:
        """Return the version of a document, or what is wrong with it."""
        digest = _digest(document)
        judgement = self._judgements.get(digest)
        if judgement is None:
            judgement = validate_document(document).map(lambda valid: valid.version)
        self._remember(digest, judgement)
        return judgement

    def record_committed(self, document: bytes, version: int) -> None:
        """Record a document that a control member, of whatever version of this program, judged as valid."""
        self._remember(_digest(document), Ok(version))

    def _remember(self, digest: bytes, judgement: Judgement) -> None:
        self._judgements[digest] = judgement
        self._judgements.move_to_end(digest)
        if len(self._judgements) > MAX_DOCUMENTS:
            self._judgements.popitem(last=False)


def _digest(document: bytes) -> bytes:
    return blake2b(document, digest_size=DIGEST_BYTES).digest()
