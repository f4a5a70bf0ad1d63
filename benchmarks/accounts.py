"""Accounts, measured: `python benchmarks/accounts.py` writes benchmarks/accounts.md; about two minutes.

A ledger of 100,000 buckets, what a key's check and a change cost, what a head's copy takes whole and by increments, and
how soon shares of a reserve follow demand that moves from one head to another.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import uvloop

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))
sys.path.insert(0, str(ROOT / "examples"))

from hophinge.cli.demo import free_port  # noqa: E402
from hophinge.control import wire  # noqa: E402
from hophinge.control.account_wire import decode_account_chunk, encode_account_chunk  # noqa: E402
from hophinge.state.ledger import Ledger, verify  # noqa: E402
from hophinge.state.rows import AuditEntry, LedgerChange, Row  # noqa: E402
from hophinge.tenancy.accounts import Accounts  # noqa: E402
from hophinge.tenancy.records import Account, Bucket, Key, digest_of, row_of  # noqa: E402
from hophinge.tenancy.account_replication import CHUNK_ROWS, AccountSender, AccountReceiver  # noqa: E402
from stream_costs import quantile  # noqa: E402
from stream_processes import POOLS, TOKEN, control_process, ready, staff, until, write_headers  # noqa: E402

BUCKETS_EACH, CHANGES = 10, 200
RESERVE, HOLD_S = 40.0, 40.0


def fill(ledger: Ledger, tenants: int) -> None:
    """Write tenants with their buckets and a key each, a thousand tenants a change."""
    for begin in range(0, tenants, 1000):
        rows: list[Row] = []
        for at in range(begin, min(tenants, begin + 1000)):
            name = f"tenant-{at}"
            rows += [row_of(Account(name)), row_of(Key(name, f"hk{at:016x}", digest_of(f"secret{at}")))]
            rows += [
                row_of(Bucket(name, f"bucket-{n}", f"{at * BUCKETS_EACH + n:016x}", "basic"))
                for n in range(BUCKETS_EACH)
            ]
        ledger.change(lambda rows=rows: LedgerChange(rows, AuditEntry(1, "bench", "operator", "fill", "", {})))  # type: ignore[misc]


def copied(ledger: Ledger, copy: Ledger, taker: AccountReceiver) -> tuple[int, int]:
    """Bring a copy up to a ledger over the wire's form; tells bytes and parts."""
    feed = AccountSender(ledger.epoch, ledger.seq, ledger.tombstone_floor(), taker.epoch, taker.seq)
    size = parts = 0
    while feed.needs_chunk(ledger.seq, ledger.tombstone_floor()):
        sent = encode_account_chunk(
            feed.next_chunk(ledger.page(feed.seq, CHUNK_ROWS, feed.removed_after_seq), ledger.seq)
        )
        got = decode_account_chunk(wire.decode_response(sent))
        size, parts = size + len(sent), parts + 1
        rows = taker.receive(got)
        if rows is not None:
            copy.replicate(got.epoch, rows[0], got.seq, rows[1], 0)
            taker.commit(got)
        feed.acknowledge(got.seq)
    return size, parts


def ledgers(folder: Path) -> list[str]:
    """Measure ledgers of three sizes."""
    rows = []
    for tenants in (10, 1000, 10_000):
        accounts = Accounts()
        ledger = Ledger(folder / f"{tenants}.db", accounts.apply)
        since = time.perf_counter()
        fill(ledger, tenants)
        filled = time.perf_counter() - since
        rng = random.Random(1)
        tokens = [f"hk{at:016x}.secret{at}" for at in rng.choices(range(tenants), k=5000)]
        since = time.perf_counter()
        assert all(accounts.authenticate(token, 0) for token in tokens)
        check = (time.perf_counter() - since) / len(tokens) * 1e6
        took = []
        for at in range(CHANGES):
            since = time.perf_counter()
            ledger.change(
                lambda at=at: LedgerChange(  # type: ignore[misc]
                    [row_of(Bucket("tenant-1", "bucket-1", f"{BUCKETS_EACH + 1:016x}", f"plan{at}"))],
                    AuditEntry(2, "bench", "operator", "change", "", {}),
                )
            )
            took.append((time.perf_counter() - since) * 1e3)
        copy_accounts = Accounts()
        copy = Ledger(folder / f"{tenants}-copy.db", copy_accounts.apply)
        taker = AccountReceiver(copy.epoch, copy.seq)
        since = time.perf_counter()
        whole, parts = copied(ledger, copy, taker)
        whole_s = time.perf_counter() - since
        assert copy_accounts.volumes == accounts.volumes
        ledger.change(
            lambda: LedgerChange(
                [row_of(Bucket("tenant-1", "bucket-1", f"{BUCKETS_EACH + 1:016x}", "last"))],
                AuditEntry(2, "bench", "operator", "change", "", {}),
            )
        )
        one, _ = copied(ledger, copy, taker)
        copy.close()
        since = time.perf_counter()
        again = Ledger(folder / f"{tenants}-copy.db", Accounts().apply)
        start = time.perf_counter() - since
        again.close()
        ledger.close()
        since = time.perf_counter()
        assert verify(folder / f"{tenants}.db")[2] is None
        rows.append(
            f"| {tenants} | {tenants * BUCKETS_EACH} | {filled:.2f} | {check:.1f} | {quantile(took, 0.5):.2f} "
            f"| {quantile(took, 0.99):.2f} | {whole / 1e6:.2f} in {parts} | {whole_s:.2f} | {one} | "
            f"{start:.2f} |"
        )
    return [
        "| tenants | buckets | filled, s | a key's check, us | a change, p50 ms | p99 ms | whole copy, MB in parts "
        "| s | one change, B | a start with it, s |",
        "| --- " * 10 + "|",
        *rows,
    ]


async def follow(folder: Path) -> list[str]:
    """Move a tenant's demand from one head to the other; tell how long until the shares have followed."""
    import toy_server

    discovery, control_port = free_port(), free_port()
    platform = await toy_server.serve([toy_server.Backend(at, free_port()) for at in range(3)], discovery)
    control = control_process(folder, control_port)
    (folder / "token").write_text(TOKEN)
    heads, ports, seconds = [], [free_port(), free_port()], [free_port(), free_port()]
    for at in range(2):
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        config.update(
            listen=f"127.0.0.1:{ports[at]}",
            control=f"127.0.0.1:{seconds[at]}",
            name=f"n{at}",
            discovery=f"127.0.0.1:{discovery}",
        )
        config["settings"].update(Balancers=2, Me=at)
        (folder / f"config{at}.json").write_text(json.dumps(config))
        (folder / f"op{at}.toml").write_text(
            f'[stream]\nendpoints = ["127.0.0.1:{control_port}"]\ntoken_file = "token"\nfolder = "state{at}"\n'
        )
        heads.append(
            subprocess.Popen(
                [sys.executable, "-m", "hophinge"],
                cwd=ROOT,
                env={
                    **os.environ,
                    "EDGE_CONFIG": str(folder / f"config{at}.json"),
                    "HOPHINGE_OPERATOR_FILE": str(folder / f"op{at}.toml"),
                },
                stdout=(folder / f"head{at}.log").open("wb"),
            )
        )
    rows: list[str] = []
    try:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as client:
            for port in ports:
                await until(lambda port=port: ready(client, port))
            await staff(
                control_port,
                "Push",
                text=(
                    f"{POOLS}(spare (depth 100 units) (leases on))"
                    f"(tenant aa (volumes 00000000000000aa) (reserve {RESERVE} units/s))"
                ),
            )
            numbers, busy, now = itertools.count(1), True, 0

            async def ask_on() -> None:
                while busy:
                    number = next(numbers)
                    url = f"http://127.0.0.1:{ports[now]}/transfer-write/00000000000000aa/{number:016x}"
                    with contextlib.suppress(aiohttp.ClientError):
                        async with client.put(
                            url,
                            data=b"x",
                            headers=write_headers(number),
                        ) as answer:
                            await answer.read()
                    await asyncio.sleep(0.03)

            async def reserve(at: int) -> float:
                async with client.get(f"http://127.0.0.1:{seconds[at]}/ops/tenants") as answer:
                    told = json.loads(await answer.text())
                return float(told["tenants"].get("aa", {}).get("reserve", 0.0))

            asking = asyncio.create_task(ask_on())
            for turn in range(5):
                now, since, most, sums = turn % 2, time.monotonic(), 0.0, 0.0
                while time.monotonic() - since < HOLD_S:
                    parts = [await reserve(0), await reserve(1)]
                    most, sums = max(most, parts[now]), max(sums, sum(parts))
                    if parts[now] >= 0.8 * RESERVE:
                        break
                    await asyncio.sleep(0.1)
                rows.append(
                    f"| {'begins at' if not turn else 'moves to'} n{now} | {time.monotonic() - since:.1f} | "
                    f"{most:.1f} | {sums:.1f} |"
                )
                await asyncio.sleep(3.0)
            busy = False
            await asking
    finally:
        for process in (*heads, control):
            process.terminate()
            process.wait()
        platform.close()
    return [
        f"A reserve of {RESERVE:g} units/s over two heads, 0.25 of it spread evenly whatever is asked; all of its "
        "demand at one head, then at the other. Time until that head has 0.8 of the reserve. Sums are of two "
        "readings, one after the other.",
        "",
        "| demand | s | at that head, units/s | both, at most |",
        "| --- | --- | --- | --- |",
        *rows,
    ]


def main() -> None:
    """Measure all and write the tables."""
    with tempfile.TemporaryDirectory(prefix="hophinge-bench-") as folder:
        held = ledgers(Path(folder))
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            moved = runner.run(follow(Path(folder)))
    text = [
        f"# Accounts, measured on {os.cpu_count()} cores",
        "",
        "`python benchmarks/accounts.py` writes this file.",
        "",
        "## Ledgers",
        "",
        *held,
        "",
        "## Shares that follow demand",
        "",
        *moved,
    ]
    (Path(__file__).parent / "accounts.md").write_text("\n".join(text) + "\n")


if __name__ == "__main__":
    main()
