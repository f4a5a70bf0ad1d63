"""The replicated record of the committed configuration: the operator's document, compressed."""

from __future__ import annotations

import zlib

from hophinge.coordination.dissemination import GossipRecord
from hophinge.fleet.configuration.route_table_reader import ReadRouteTable, UnreadableDocumentError, read_route_table

RECORD_KEY = "configuration"  # key of the configuration's register in the chain and of its replicated record
COMPRESSION_LEVEL = 1  # of zlib; documents compress well at any level, so speed matters more than size


def compress_document(document: bytes) -> bytes:
    """Return a document in the compressed form that its record contains."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def configuration_record(sequence: int, document: bytes) -> GossipRecord:
    """Return the replicated record of a committed document, stamped with its sequence number in the chain."""
    return GossipRecord(RECORD_KEY, (sequence, 0), compress_document(document))


def read_configuration_record(record: GossipRecord) -> ReadRouteTable:
    """Read the route table from the configuration's record.

    Raises:
        UnreadableDocumentError: The document cannot be decompressed, or is not a JSON object with a version.

    """
    try:
        document = zlib.decompress(record.value)
    except zlib.error as error:
        raise UnreadableDocumentError(f"cannot be decompressed: {error}") from error
    return read_route_table(document)
