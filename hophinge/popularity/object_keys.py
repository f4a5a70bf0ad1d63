"""Object identifiers that may leave a process: hashed and encrypted with a secret of the installation.

A key lets heads sum their counts, and reveals nothing without the secret. The locator, which identifies the object to
backends and contains no names either, is sent encrypted, so that a site can fetch an object that it never served. Key
and ciphertext are a synthetic-IV construction (the idea of RFC 5297, with BLAKE2b): the key is a keyed hash of the
locator, and the pad is derived from the key. So the same object gives the same bytes everywhere, and no pad is used for
two locators.
"""

from __future__ import annotations

from hashlib import blake2b

from msgspec import Struct

KEY_BYTES = 8  # 64 bits: two of a million objects share a key in one of 37 million installations
SEALED_BYTES = 20  # volume and manifest, 8 bytes each, and the shard, 4 bytes
MIN_SECRET_BYTES = 16  # a shorter secret can be guessed
HEX_DIGITS = frozenset("0123456789abcdef")


class Locator(Struct, frozen=True):
    """The location of an object's manifest, as requested from backends."""

    volume: str
    manifest: str
    shard: int


def _decode_hex(text: str) -> bytes | None:
    return bytes.fromhex(text) if len(text) == 16 and HEX_DIGITS.issuperset(text) else None


class ObjectKeys:
    """Keys and encrypted locators under one secret of at least `MIN_SECRET_BYTES`."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) < MIN_SECRET_BYTES:
            raise ValueError(f"the secret must have at least {MIN_SECRET_BYTES} bytes")
        self.secret = blake2b(secret, digest_size=32).digest()

    def of(self, locator: Locator) -> bytes:
        """Return the key of an object."""
        text = f"{locator.volume}\0{locator.manifest}\0{locator.shard}".encode()
        return blake2b(text, digest_size=KEY_BYTES, key=self.secret, person=b"object").digest()

    def seal(self, locator: Locator) -> bytes:
        """Encrypt a locator; empty if its volume or manifest is not 16 hexadecimal digits, as it then stays local."""
        volume, manifest = _decode_hex(locator.volume), _decode_hex(locator.manifest)
        if volume is None or manifest is None or not 0 <= locator.shard < 1 << 32:
            return b""
        plain = volume + manifest + locator.shard.to_bytes(4, "big")
        return self._apply_pad(self.of(locator), plain)

    def open(self, key: bytes, sealed: bytes) -> Locator | None:
        """Decrypt a locator; None if it was not sealed under this secret for this key."""
        if len(sealed) != SEALED_BYTES or len(key) != KEY_BYTES:
            return None
        plain = self._apply_pad(key, sealed)
        locator = Locator(plain[:8].hex(), plain[8:16].hex(), int.from_bytes(plain[16:], "big"))
        return locator if self.of(locator) == key else None

    def _apply_pad(self, key: bytes, data: bytes) -> bytes:
        pad = blake2b(key, digest_size=SEALED_BYTES, key=self.secret, person=b"locator").digest()
        return bytes(data_byte ^ pad_byte for data_byte, pad_byte in zip(data, pad, strict=True))
