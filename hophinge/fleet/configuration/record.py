"""The replicated record of the configuration in force: the operator's document, compressed."""

from __future__ import annotations

import zlib

from hophinge.coordination.dissemination import GossipRecord
from hophinge.fleet.configuration.route_table_reader import ReadRouteTable, UnreadableDocumentError, read_route_table

RECORD_KEY = "configuration"  # the key of the replicated record of the applied configuration
COMPRESSION_LEVEL = 1  # of zlib: documents are repetitive, and time counts more than bytes


def compress_document(document: bytes) -> bytes:
    """Return a document as its record holds it."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def configuration_record(sequence: int, document: bytes) -> GossipRecord:
    """Return the replicated record of a committed document, stamped with its sequence in the chain's history."""
    return GossipRecord(RECORD_KEY, (sequence, 0), compress_document(document))


def read_configuration_record(record: GossipRecord) -> ReadRouteTable:
    """Read the route table of a configuration's record.

    Raises:
        UnreadableDocumentError: Nothing of the configuration can be read.

    """
    try:
        document = zlib.decompress(record.value)
    except zlib.error as error:
        raise UnreadableDocumentError(f"not compressed: {error}") from error
    return read_route_table(document)
