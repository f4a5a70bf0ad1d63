"""What is counted beside the rows: usage by reporter, tenant, volume and field, and uploads that are open at a head."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hophinge.state.book import Book


class Tallies(Book):
    """Usage and open uploads of one file."""

    # --- open uploads of this head

    def uploads(self, tenant: str, most: int) -> list[tuple[str, bytes]]:
        """Tell open uploads of a tenant."""
        return list(self.db.execute("SELECT id, body FROM upload WHERE tenant = ? LIMIT ?", (tenant, most)))

    def uploads_open(self, tenant: str) -> int:
        """Count them."""
        return int(self.db.execute("SELECT count(*) FROM upload WHERE tenant = ?", (tenant,)).fetchone()[0])

    def uploaders(self) -> list[str]:
        """Tell the tenants that have any."""
        return [name for (name,) in self.db.execute("SELECT DISTINCT tenant FROM upload")]

    def upload_opened(self, upload: str, tenant: str, body: bytes) -> None:
        """Note one, before its client hears of it."""
        with self.write():
            self.db.execute("INSERT OR REPLACE INTO upload VALUES (?,?,?)", (upload, tenant, body))

    def upload_ended(self, upload: str) -> None:
        """Forget one that was completed or aborted."""
        with self.write():
            self.db.execute("DELETE FROM upload WHERE id = ?", (upload,))

    # --- usage

    def used(self, reporter: str, amounts: Mapping[tuple[str, str, str], float]) -> None:
        """Add amounts by tenant, volume and field, all or none."""
        with self.write():
            self.db.executemany(
                "INSERT INTO usage VALUES (?,?,?,?,?) ON CONFLICT(tenant, volume, field, reporter) "
                "DO UPDATE SET amount = amount + excluded.amount",
                [(reporter, *key, amount) for key, amount in amounts.items()],
            )

    def told(self, reporter: str, totals: Mapping[tuple[str, str, str], float]) -> None:
        """Take totals as a reporter has them; they only grow, so late and doubled reports change nothing."""
        with self.write():
            self.db.executemany(
                "INSERT INTO usage VALUES (?,?,?,?,?) ON CONFLICT(tenant, volume, field, reporter) "
                "DO UPDATE SET amount = max(amount, excluded.amount)",
                [(reporter, *key, amount) for key, amount in totals.items()],
            )

    def usage(self, tenant: str) -> dict[str, dict[str, float]]:
        """Tell a tenant's usage by volume and field, over all reporters."""
        found: dict[str, dict[str, float]] = {}
        for volume, field, amount in self.db.execute(
            "SELECT volume, field, sum(amount) FROM usage WHERE tenant = ? GROUP BY volume, field", (tenant,)
        ):
            found.setdefault(volume, {})[field] = amount
        return found

    def usage_of(self, reporter: str, keys: Iterable[tuple[str, str, str]]) -> dict[tuple[str, str, str], float]:
        """Tell a reporter's totals of some keys."""
        found = {}
        for key in keys:
            row = self.db.execute(
                "SELECT amount FROM usage WHERE tenant = ? AND volume = ? AND field = ? AND reporter = ?",
                (*key, reporter),
            ).fetchone()
            if row is not None:
                found[key] = float(row[0])
        return found
