"""Tables of the control service's store; table and column names are part of the stored format."""

from __future__ import annotations

SCHEMA = """
CREATE TABLE meta(form INTEGER NOT NULL, epoch INTEGER NOT NULL);
CREATE TABLE version(epoch INTEGER, number INTEGER, pushed_ms INTEGER, who TEXT, note TEXT, changed INTEGER,
  removed INTEGER, rollout BLOB, source BLOB, PRIMARY KEY(epoch, number));
CREATE TABLE record(epoch INTEGER, number INTEGER, name TEXT, body BLOB, PRIMARY KEY(epoch, number, name))
  WITHOUT ROWID;
CREATE TABLE course(one INTEGER PRIMARY KEY CHECK(one = 1), body BLOB NOT NULL);
CREATE TABLE head(name TEXT PRIMARY KEY, seen_ms INTEGER);
CREATE TABLE block(id INTEGER PRIMARY KEY AUTOINCREMENT);
CREATE TABLE size(one INTEGER PRIMARY KEY CHECK(one = 1), heads INTEGER NOT NULL);
CREATE TABLE audit(id INTEGER PRIMARY KEY AUTOINCREMENT, at_ms INTEGER, who TEXT, what TEXT, detail TEXT);
"""

# Tables that older stores lack; older versions of this program can still read a store that has them.
ADDED_TABLES = """
CREATE TABLE IF NOT EXISTS size(one INTEGER PRIMARY KEY CHECK(one = 1), heads INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS fence(one INTEGER PRIMARY KEY CHECK(one = 1), issuer TEXT NOT NULL, fence INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS upkeep(one INTEGER PRIMARY KEY CHECK(one = 1), body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS permit(id TEXT PRIMARY KEY, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS release(name TEXT PRIMARY KEY, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS place(head TEXT PRIMARY KEY, zone TEXT NOT NULL)
"""
