"""Records of accounts (tenants, buckets and keys) and their encoding as rows. No I/O, no clock."""

from __future__ import annotations

import hashlib
import re
from enum import Enum
from typing import Literal

import msgspec
from msgspec import Struct, field

from hophinge.core.errors import HophingeError
from hophinge.state.rows import Row
from hophinge.tenancy.lifecycle import TenantState

NAME_PATTERN = re.compile(r"[a-z0-9](?:[a-z0-9.-]{1,61})[a-z0-9]", re.ASCII)
KEY_ID_PATTERN = re.compile(r"hk[0-9a-f]{16}", re.ASCII)
MAX_NOTE_CHARACTERS = 200
# Default quotas of a tenant.
MAX_KEYS = 50
MAX_VOLUMES = 1000
MAX_UPLOADS = 1000
MAX_OVERLAP_S = 7 * 24 * 3600  # longest time that a rotated key may remain valid

# Kinds of rows, as the ledger stores them.
TENANT_KIND = "tenant"
BUCKET_KIND = "bucket"
KEY_KIND = "key"

AccountErrorKind = Literal["exists", "missing", "invalid", "state", "quota", "stale"]


class AccountError(HophingeError):
    """A rejected change of an account; `kind` gives the reason."""

    code = "account-refused"
    remedy = "Correct the name, state, quota or version that the message names, and try again; nothing was changed."

    def __init__(self, kind: AccountErrorKind, text: str) -> None:
        super().__init__(text)
        self.kind: AccountErrorKind = kind


class Role(Enum):
    """What a key may be used for."""

    DATA = "data"  # reading and writing objects
    ADMINISTRATOR = "administrator"  # managing its tenant's buckets and keys
    READER = "reader"  # viewing its tenant's buckets, keys and usage


class Quotas(Struct, frozen=True, forbid_unknown_fields=True):
    """Maximum resources of a tenant; uploads, connections and requests are counted at each head."""

    volumes: int = MAX_VOLUMES
    keys: int = MAX_KEYS
    uploads: int = MAX_UPLOADS
    connections: int = 0  # 0: no quota of its own
    requests: int = 0  # concurrent object requests; 0: no quota

    def __post_init__(self) -> None:
        """Check ranges."""
        if min(self.volumes, self.keys, self.uploads, self.connections, self.requests) < 0:
            raise ValueError("quotas must be 0 or more")


class Shares(Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant's reserve and its weight in spare capacity, for installations whose heads share spare capacity."""

    reserve: float = 0.0  # units/s, summed over all heads
    weight: float = 1.0  # in the sharing of spare capacity

    def __post_init__(self) -> None:
        """Check ranges."""
        if not 0 <= self.reserve <= 1e9 or not 1e-3 <= self.weight <= 1e6:
            raise ValueError("reserve must be from 0 to 1e9 units/s, weight from 0.001 to 1e6")


class Account(Struct, frozen=True):
    """One tenant. The `seq` of its row is its last change, and the version (ETag) for callers that change it."""

    name: str
    state: TenantState = TenantState.ACTIVE
    quotas: Quotas = Quotas()
    shares: Shares = Shares()
    created_ms: int = field(default=0, name="made_ms")  # Unix time
    note: str = ""


class Bucket(Struct, frozen=True):
    """A bucket and its volume on the backends."""

    tenant: str
    name: str
    id: str  # of the volume; random and never reused
    plan: str
    created_ms: int = field(default=0, name="made_ms")


class Key(Struct, frozen=True):
    """An access key: its public id and the digest of its secret."""

    tenant: str
    id: str
    digest: str
    role: Role = Role.DATA
    created_ms: int = field(default=0, name="made_ms")
    expires_ms: int = field(default=0, name="ends_ms")  # 0: never
    note: str = ""

    def has_expired(self, now_ms: int) -> bool:
        """Return whether the key has expired."""
        return 0 < self.expires_ms <= now_ms


AccountRecord = Account | Bucket | Key

RECORD_TYPES: dict[str, type[AccountRecord]] = {TENANT_KIND: Account, BUCKET_KIND: Bucket, KEY_KIND: Key}


def digest_of(secret: str) -> str:
    """Return the digest of a secret; one round of a plain hash is enough, since secrets are long and random."""
    return hashlib.sha256(secret.encode()).hexdigest()


def checked_name(name: str, subject: str) -> str:
    """Return the name of a tenant or bucket (`subject`); raises AccountError if it is invalid."""
    if not NAME_PATTERN.fullmatch(name):
        raise AccountError(
            "invalid",
            f"a {subject} name has 3 to 63 characters of a-z, 0-9, '.' and '-', the first and last of a-z, 0-9",
        )
    return name


def row_of(record: AccountRecord) -> Row:
    """Return the row in which the ledger stores a record."""
    match record:
        case Account(name=name):
            return Row(TENANT_KIND, name, msgspec.json.encode(record))
        case Bucket(tenant=tenant, name=name):
            return Row(BUCKET_KIND, f"{tenant}/{name}", msgspec.json.encode(record))
        case Key(id=name):
            return Row(KEY_KIND, name, msgspec.json.encode(record))


def checked_note(text: str) -> str:
    """Return an operator's note; raises AccountError if it is too long."""
    if len(text) > MAX_NOTE_CHARACTERS:
        raise AccountError("invalid", f"a note has at most {MAX_NOTE_CHARACTERS} characters")
    return text
