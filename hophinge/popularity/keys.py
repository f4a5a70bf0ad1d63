"""Names of objects as they may leave a process: hashed and sealed with a secret of the installation.

A key alone lets heads sum up what they count, and tells a listener nothing without the secret. What a brick is asked
for (its locator, which bears no name either) goes along sealed, so that a site can fetch what it never saw. Key and
seal are the synthetic-IV construction (RFC 5297's idea, BLAKE2b as the function): the key is the locator's keyed hash,
and what hides the locator follows from the key, so the same object gives the same bytes everywhere and no pad is used
for two locators.
"""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct

KEY_BYTES = 8  # 64 bits: among a million objects two share a key once in 37 million installations
SEALED_BYTES = 20  # volume and manifest, 8 each, and the shard
MIN_SECRET = 16  # bytes; shorter ones can be tried out
HEX = frozenset("0123456789abcdef")


class Locator(Struct, frozen=True):
    """Where an object's manifest lies: what is asked of bricks."""

    volume: str
    manifest: str
    shard: int


def _hex8(text: str) -> bytes | None:
    return bytes.fromhex(text) if len(text) == 16 and HEX.issuperset(text) else None


class Keys:
    """Keys and seals under one secret, 16 to 64 bytes."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < MIN_SECRET:
            raise ValueError(f"a secret has at least {MIN_SECRET} bytes")
        self.secret = blake2b(secret, digest_size=32).digest()

    def of(self, locator: Locator) -> bytes:
        """Tell an object's key."""
        text = f"{locator.volume}\0{locator.manifest}\0{locator.shard}".encode()
        return blake2b(text, digest_size=KEY_BYTES, key=self.secret, person=b"object").digest()

    def seal(self, locator: Locator) -> bytes:
        """Hide a locator; empty where its volume bears a name of its own making, which then stays here."""
        volume, manifest = _hex8(locator.volume), _hex8(locator.manifest)
        if volume is None or manifest is None or not 0 <= locator.shard < 1 << 32:
            return b""
        plain = volume + manifest + locator.shard.to_bytes(4, "big")
        return self._hidden(self.of(locator), plain)

    def open(self, key: bytes, sealed: bytes) -> Locator | None:
        """Tell what is sealed; nothing where it was not sealed under this secret for this key."""
        if len(sealed) != SEALED_BYTES or len(key) != KEY_BYTES:
            return None
        plain = self._hidden(key, sealed)
        found = Locator(plain[:8].hex(), plain[8:16].hex(), int.from_bytes(plain[16:], "big"))
        return found if self.of(found) == key else None

    def _hidden(self, key: bytes, data: bytes) -> bytes:
        pad = blake2b(key, digest_size=SEALED_BYTES, key=self.secret, person=b"locator").digest()
        return bytes(one ^ other for one, other in zip(data, pad, strict=True))
