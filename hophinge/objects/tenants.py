"""Tenants, their keys and their volumes, in one file on the operator's disk.

The file is replaced as a whole, so a reader sees the old or the new one. Of a key only a digest is kept.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import re
import secrets
import tempfile
from pathlib import Path

import msgspec

NAME = re.compile(r"[a-z0-9](?:[a-z0-9.-]{1,61})[a-z0-9]", re.ASCII)


class TenantError(Exception):
    """A call that the accounts do not allow; ``kind`` is exists, missing or invalid."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind


class Key(msgspec.Struct):
    """An access key: its public id and the digest of its secret."""

    id: str
    digest: str


class Volume(msgspec.Struct, frozen=True):
    """A bucket's volume on the bricks and the plan that it stands on."""

    id: str
    plan: str


class Tenant(msgspec.Struct):
    """One account."""

    name: str
    disabled: bool = False
    keys: list[Key] = []
    volumes: dict[str, Volume] = {}


class Accounts(msgspec.Struct):
    """The file."""

    tenants: dict[str, Tenant] = {}


def digest(secret: str) -> str:
    """Digest a secret; it is random and long, so one round of a plain hash is enough."""
    return hashlib.sha256(secret.encode()).hexdigest()


def checked(name: str, what: str) -> str:
    """Check a tenant's or bucket's name."""
    if not NAME.fullmatch(name):
        raise TenantError("invalid", f"{what} names have 3 to 63 of a-z, 0-9, dot and dash, ends alphanumeric")
    return name


class Tenants:
    """The accounts of one file, read anew when another process has replaced it."""

    def __init__(self, path: Path, plans: frozenset[str]) -> None:
        self.path, self.plans = path, plans
        self.accounts = Accounts()
        self.stamp: tuple[int, int, int] | None = None
        self.by_key: dict[str, tuple[Tenant, Key]] = {}
        self.owners: dict[str, str] = {}        # tenants by volume
        self.refresh()

    def refresh(self) -> None:
        """Read the file if it has changed; no file is no tenant."""
        try:
            stat = self.path.stat()
        except FileNotFoundError:
            return
        stamp = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        if stamp == self.stamp:
            return
        try:
            self.accounts = msgspec.json.decode(self.path.read_bytes(), type=Accounts)
        except msgspec.MsgspecError:
            if self.stamp is None:
                raise
            # Somebody's slip in the file while heads serve: what was read before stays in force.
        self.stamp = stamp
        self._index()

    def _index(self) -> None:
        self.owners = {volume.id: tenant.name for tenant in self.accounts.tenants.values()
                       for volume in tenant.volumes.values()}
        self.by_key = {key.id: (tenant, key) for tenant in self.accounts.tenants.values() for key in tenant.keys}

    def owner(self, volume: str) -> str:
        """Tell the tenant of a volume; nothing where it is no bucket's."""
        return self.owners.get(volume, "")

    def _save(self) -> None:
        try:
            self._replace()
        except BaseException:
            self.stamp = None       # what could not be saved does not hold
            self.accounts = Accounts()
            self.refresh()
            raise

    def _replace(self) -> None:
        # Written beside, synced and renamed over: a crash leaves the old file or the new one, never half.
        self.path.parent.mkdir(parents=True, exist_ok=True)
        handle, name = tempfile.mkstemp(dir=self.path.parent, prefix=f".{self.path.name}.")
        try:
            with os.fdopen(handle, "wb") as file:
                file.write(msgspec.json.format(msgspec.json.encode(self.accounts), indent=1))
                file.flush()
                os.fsync(file.fileno())
            os.replace(name, self.path)
        except BaseException:
            Path(name).unlink(missing_ok=True)
            raise
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        stat = self.path.stat()
        self.stamp = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        self._index()

    # --- what the object front asks

    def authenticate(self, token: str) -> Tenant | None:
        """Tell whose key this is; a disabled tenant has none."""
        name, _, secret = token.partition(".")
        found = self.by_key.get(name)
        # Compared in constant time also where the id is unknown: how long it takes tells nothing.
        known = found[1].digest if found else digest("")
        if not hmac.compare_digest(known, digest(secret)) or found is None or found[0].disabled:
            return None
        return found[0]

    # --- what the administration API asks

    def get(self, name: str) -> Tenant:
        """Find a tenant."""
        tenant = self.accounts.tenants.get(name)
        if tenant is None:
            raise TenantError("missing", f"no tenant {name}")
        return tenant

    def create(self, name: str) -> Tenant:
        """Make a tenant without keys or volumes."""
        if checked(name, "tenant") in self.accounts.tenants:
            raise TenantError("exists", f"tenant {name} exists")
        tenant = self.accounts.tenants[name] = Tenant(name)
        self._save()
        return tenant

    def set_disabled(self, name: str, disabled: bool) -> Tenant:
        """Switch a tenant off or on; its keys and volumes stay."""
        tenant = self.get(name)
        tenant.disabled = disabled
        self._save()
        return tenant

    def remove(self, name: str) -> None:
        """Forget a tenant and its keys; what its volumes hold is out of reach from then on."""
        self.get(name)
        del self.accounts.tenants[name]
        self._save()

    def add_key(self, name: str) -> str:
        """Make a further key and tell it, once."""
        tenant = self.get(name)
        key, secret = f"hk{secrets.token_hex(8)}", secrets.token_urlsafe(32)
        tenant.keys.append(Key(key, digest(secret)))
        self._save()
        return f"{key}.{secret}"

    def rotate_key(self, name: str, key_id: str) -> str:
        """Replace a key: the old one ends with the same write that starts the new one."""
        tenant = self.get(name)
        if all(key.id != key_id for key in tenant.keys):
            raise TenantError("missing", f"no key {key_id}")
        tenant.keys = [key for key in tenant.keys if key.id != key_id]
        return self.add_key(name)

    def remove_key(self, name: str, key_id: str) -> None:
        """End a key."""
        tenant = self.get(name)
        if all(key.id != key_id for key in tenant.keys):
            raise TenantError("missing", f"no key {key_id}")
        tenant.keys = [key for key in tenant.keys if key.id != key_id]
        self._save()

    def put_volume(self, name: str, bucket: str, plan: str) -> Volume:
        """Make a bucket on a volume of its own, or move it to another plan."""
        tenant = self.get(name)
        if plan not in self.plans:
            raise TenantError("invalid", f"no plan {plan}; there are {', '.join(sorted(self.plans))}")
        held = tenant.volumes.get(checked(bucket, "bucket"))
        # A volume's id is random and never given twice, so no tenant reaches another's objects.
        volume = tenant.volumes[bucket] = Volume(held.id if held else secrets.token_hex(8), plan)
        self._save()
        return volume
