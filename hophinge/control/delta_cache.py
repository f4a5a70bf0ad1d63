"""Cache of the encoded responses that bring a head from one version to another, shared by all heads."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from hophinge.control.messages import (
    ConfigVersion,
    DiscoveryResponse,
    ResourceType,
    batches,
    version_name,
)
from hophinge.control.snapshot import Delta, Snapshot
from hophinge.control.wire import encode_response, version_resource

MAX_RECORDS_PER_RESPONSE = 500  # about 100 KB; decoding a response blocks a head's event loop
MAX_CACHED_DELTAS = 16


class DeltaCache:
    """Encoded deltas by the versions before and after; the oldest entries are evicted first."""

    def __init__(self) -> None:
        self.cached: OrderedDict[tuple[ConfigVersion | None, ConfigVersion], Sequence[bytes]] = OrderedDict()
        self.encoded_count = 0

    def responses(self, before: Snapshot | None, after: Snapshot) -> Sequence[bytes]:
        """Return the encoded responses from one version to another; `before` is None for a head that has no records."""
        key = before.version if before is not None else None, after.version
        responses = self.cached.get(key)
        if responses is None:
            before_records = before.records if before is not None else {}
            stored = {name: record.version_text for name, record in before_records.items()}
            responses = self.encode(after, after.delta_from(stored))
            self.cached[key] = responses
            while len(self.cached) > MAX_CACHED_DELTAS:
                self.cached.popitem(last=False)
        return responses

    def encode(self, after: Snapshot, delta: Delta) -> Sequence[bytes]:
        """Encode a delta as batches of records followed by the version; the nonces are the same for every head."""
        self.encoded_count += 1
        name = version_name(after.id)
        removed = tuple(delta.removed)
        responses = [
            DiscoveryResponse(ResourceType.RECORD, f"{name}/{index}", batch, removed if index == 0 else ())
            for index, batch in enumerate(batches(delta.changed, MAX_RECORDS_PER_RESPONSE))
        ]
        if removed and not responses:
            responses = [DiscoveryResponse(ResourceType.RECORD, f"{name}/0", (), removed)]
        responses.append(DiscoveryResponse(ResourceType.VERSION, name, (version_resource(after.version),)))
        return tuple(encode_response(response) for response in responses)
