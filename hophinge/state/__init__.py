"""Durable local state: files that are replaced atomically, and a SQLite ledger with a hash-chained audit log."""
