"""Encoding of the tenants' accounts on the discovery stream.

A chunk of accounts is one response. Its resources are rows named `kind/name`, its removed names are `seq/kind/name`,
and its nonce is `epoch.seq.flags`. The flags are `a` (the chunk replaces all accounts), `f` (first chunk) and `l` (last
chunk), in this order, with a dash for each flag that is not set.
"""

from __future__ import annotations

from hophinge.control.messages import DiscoveryResponse, MalformedMessageError, Resource, ResourceType
from hophinge.control.wire import decode_record, encode_record, encode_response
from hophinge.state.rows import Row
from hophinge.tenancy.account_replication import AccountChunk


def encode_account_chunk(chunk: AccountChunk) -> bytes:
    """Encode a chunk of accounts as a response."""
    flags = ("a" if chunk.replaces_all else "-") + ("f" if chunk.is_first else "-") + ("l" if chunk.is_last else "-")
    return encode_response(
        DiscoveryResponse(
            ResourceType.ACCOUNT,
            f"{chunk.epoch}.{chunk.seq}.{flags}",
            tuple(
                Resource(f"{row.kind}/{row.name}", str(row.seq), encode_record(row.body))
                for row in chunk.rows
                if row.body is not None
            ),
            tuple(f"{row.seq}/{row.kind}/{row.name}" for row in chunk.rows if row.body is None),
        )
    )


def decode_account_chunk(response: DiscoveryResponse) -> AccountChunk:
    """Decode a chunk of accounts; raises MalformedMessageError."""
    try:
        epoch, seq, flags = response.nonce.split(".")
        rows = []
        for resource in response.resources:
            kind, name = resource.name.split("/", 1)
            rows.append(Row(kind, name, decode_record(resource.body), int(resource.version)))
        for removed in response.removed:
            number, kind, name = removed.split("/", 2)
            rows.append(Row(kind, name, None, int(number)))
        return AccountChunk(int(epoch), int(seq), flags[0] == "a", flags[1] == "f", flags[2] == "l", tuple(rows))
    except (ValueError, IndexError, TypeError) as error:
        raise MalformedMessageError(f"cannot decode a chunk of accounts: {error}") from error
