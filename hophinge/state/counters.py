"""Usage totals of a ledger by reporter, tenant, volume and field, and the open multipart uploads of a head."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hophinge.state.rows import UsageKey
from hophinge.state.sqlite_store import SqliteStore


class Counters(SqliteStore):
    """Usage totals and open uploads of one ledger file."""

    # --- open uploads

    def list_uploads(self, tenant: str, limit: int) -> list[tuple[str, bytes]]:
        """Return up to `limit` open uploads of a tenant, each as its id and JSON."""
        return list(self.db.execute("SELECT id, body FROM upload WHERE tenant = ? LIMIT ?", (tenant, limit)))

    def count_uploads(self, tenant: str) -> int:
        """Return the number of a tenant's open uploads."""
        return int(self.db.execute("SELECT count(*) FROM upload WHERE tenant = ?", (tenant,)).fetchone()[0])

    def tenants_with_uploads(self) -> list[str]:
        """Return the tenants that have open uploads."""
        return [name for (name,) in self.db.execute("SELECT DISTINCT tenant FROM upload")]

    def add_upload(self, upload_id: str, tenant: str, body: bytes) -> None:
        """Store an upload; to be called before the client receives the id, so that no upload is leaked."""
        with self.transaction():
            self.db.execute("INSERT OR REPLACE INTO upload VALUES (?,?,?)", (upload_id, tenant, body))

    def remove_upload(self, upload_id: str) -> None:
        """Remove an upload that was completed or aborted."""
        with self.transaction():
            self.db.execute("DELETE FROM upload WHERE id = ?", (upload_id,))

    # --- usage

    def add_usage(self, reporter: str, amounts: Mapping[UsageKey, float]) -> None:
        """Add amounts to a reporter's totals in one transaction."""
        with self.transaction():
            self.db.executemany(
                "INSERT INTO usage VALUES (?,?,?,?,?) ON CONFLICT(tenant, volume, field, reporter) "
                "DO UPDATE SET amount = amount + excluded.amount",
                [(reporter, *key, amount) for key, amount in amounts.items()],
            )

    def merge_usage_totals(self, reporter: str, totals: Mapping[UsageKey, float]) -> None:
        """Merge a reporter's totals by maximum: totals only grow, so late or duplicate reports change nothing."""
        with self.transaction():
            self.db.executemany(
                "INSERT INTO usage VALUES (?,?,?,?,?) ON CONFLICT(tenant, volume, field, reporter) "
                "DO UPDATE SET amount = max(amount, excluded.amount)",
                [(reporter, *key, amount) for key, amount in totals.items()],
            )

    def usage_by_volume(self, tenant: str) -> dict[str, dict[str, float]]:
        """Return a tenant's usage by volume and field, summed over all reporters."""
        usage: dict[str, dict[str, float]] = {}
        for volume, field, amount in self.db.execute(
            "SELECT volume, field, sum(amount) FROM usage WHERE tenant = ? GROUP BY volume, field", (tenant,)
        ):
            usage.setdefault(volume, {})[field] = amount
        return usage

    def reporter_totals(self, reporter: str, keys: Iterable[UsageKey]) -> dict[UsageKey, float]:
        """Return a reporter's totals for the given keys; keys without a total are omitted."""
        totals = {}
        for key in keys:
            row = self.db.execute(
                "SELECT amount FROM usage WHERE tenant = ? AND volume = ? AND field = ? AND reporter = ?",
                (*key, reporter),
            ).fetchone()
            if row is not None:
                totals[key] = float(row[0])
        return totals
