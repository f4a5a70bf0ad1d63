"""Whole heads, and one among their peers that holds the key and lies about a member, a brick and an object."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections import Counter
from pathlib import Path

from hophinge.load.plan import Fault, LoadPlan
from hophinge.load.rig.conditions import holds_while, wait_until
from hophinge.load.rig.run import ProcessEndpoints, RigRun
from hophinge.popularity import peer_demand
from hophinge.popularity.object_keys import KEY_BYTES, SEALED_BYTES
from hophinge.scoring import encoding
from tests.together import BOUND_S, SOAK, Bytes, all_see, counted, heads, none_dead, run

BACKENDS = 4
REQUESTS = 1_500 if SOAK else 240
TURNS = 4  # of the load, at most
# From the load's begin the brick of shard 0 fails all that it is asked.
PLAN = LoadPlan(work_us=2_000, slots=8, backends=BACKENDS, faults=(Fault("fail", 0, 600_000_000, 1 / BACKENDS, 1.0),))
ACCUSED, FAILING = "load-1", "load-0"
BYTES_S = 20_000


def lies() -> dict[str, object]:
    """It accuses a healthy brick, praises one that fails by naming it nowhere, and counts an object a million times."""
    weights = [encoding.encode("suspicion-1", beat, {ACCUSED: 1.0})[0] for beat in (1, 2)]
    pages = [
        peer_demand.encode_pages(span, 1e6, [peer_demand.DemandItem(b"k" * KEY_BYTES, bytes(SEALED_BYTES), 1e6)])[0]
        for span in (1, 2)
    ]
    return {
        "accuses": "n1",
        "entries": [
            *(
                ["weights", encoding.entry_key("suspicion", chunk), [one[chunk].hex() for one in weights]]
                for chunk in weights[0]
            ),
            ["popularity", "0", [page.hex() for page in pages]],
        ],
    }


def kept(done: list[int]) -> bool:
    """The accused brick has its share among those that answer, as peers' trimmed mean has it."""
    return done[1] >= sum(done[1:]) / (BACKENDS - 1) / 4  # without the trim: 0 to 9 of 240


def test_a_byzantine_member_moves_no_member_no_backend_share_and_no_fetch(tmp_path: Path) -> None:
    async def main() -> None:
        async with RigRun(tmp_path, 31, PLAN) as made:
            names = ["n0", "n1", "n2"]
            (tmp_path / "secret").write_text("0123456789abcdef")
            for name in names:
                await made.add_head(
                    name,
                    seeds=["n0", "liar"],
                    sections={
                        "scoring": {"scorers": ["latency", "suspicion"]},
                        "objects": {
                            "listen": made.address(),
                            "tenants": str(tmp_path / name / "tenants.json"),
                            "read_class": "record-read",
                            "write_class": "transfer-write",
                        },
                        "popularity": {"secret_file": str(tmp_path / "secret")},
                    },
                )
            member = await made.cluster_section("liar", ["n0"])
            where = ProcessEndpoints("", made.address(), member["listen"])
            made.processes.create(
                "liar", ["tests.byzantine_member", where.control, json.dumps(member), json.dumps(lies())]
            )
            made.endpoints["liar"] = where
            await made.processes.start(*names, "liar")
            await wait_until([made.is_ready(name) for name in names], BOUND_S)
            await wait_until(all_see(made, names, [*names, "liar"]), BOUND_S)
            # All have heard the lies about the brick and the object.
            await wait_until(
                [
                    made.answers(
                        name,
                        "/ops/scorers",
                        "the liar's word on a brick",
                        lambda text: json.loads(text)["peers"]["suspicion"].get("liar", {}).get("bricks") == 1,
                    )
                    for name in names
                ],
                BOUND_S,
            )
            await wait_until(
                [
                    made.answers(
                        name, "/ops/popularity", "the liar's page", lambda text: json.loads(text)["peers"] >= 1
                    )
                    for name in names
                ],
                BOUND_S,
            )
            made.platform.start_clock()
            sent = Bytes(made, names)
            statuses: Counter[int] = Counter()

            async def load(turn: int) -> None:
                for number in range(turn * REQUESTS, (turn + 1) * REQUESTS):
                    statuses[await made.request(names[number % 3], 1 + number, -1, 6)] += 1

            shares = list[list[int]]()
            # A stall of the machine makes a brick look slow for a while, accused or not; a lie that moves shares stays.
            while len(shares) < TURNS and not (shares and kept(shares[-1])):
                before = [backend.served for backend in made.platform.backends]
                assert await holds_while(none_dead(made, names), load(len(shares))) > 0
                shares.append(
                    [backend.served - was for backend, was in zip(made.platform.backends, before, strict=True)]
                )
            assert statuses == {200: len(shares) * REQUESTS}, statuses
            assert kept(shares[-1]), shares
            # The member that is accused by ever another name is held dead by nobody, and refutes.
            await wait_until(
                [
                    made.answers(
                        "n1",
                        "/ops/cluster",
                        "it has refuted",
                        lambda text: json.loads(text)["counters"].get("refuted", 0) > 2,
                    )
                ],
                BOUND_S,
            )
            assert {await counted(made, name, "deaths") for name in names} == {0}
            popularity = json.loads((await made.get("n0", "/ops/popularity"))[1])
            assert popularity["fetched_objects"] == 0 and popularity["kept_bytes"] == 0, popularity
            sent.within(BYTES_S)

    run(main())


def test_an_unauthenticated_flood_gets_no_answer_and_stays_within_the_byte_limit(tmp_path: Path) -> None:
    """Requests are served meanwhile, what was read is dropped and counted, and the stranger hears nothing."""

    async def main() -> None:
        async with RigRun(tmp_path, 32, LoadPlan(work_us=2_000, slots=8)) as made:
            names = ["n0", "n1", "n2"]
            await heads(made, names, ["n0"])
            await wait_until(all_see(made, names), BOUND_S)
            host, _, port = made.endpoints["n0"].peers.rpartition(":")
            sent, flooding, flooded = Bytes(made, names), True, 0
            with socket.socket(type=socket.SOCK_DGRAM) as stranger:
                stranger.setblocking(False)

                async def flood() -> None:
                    nonlocal flooded
                    while flooding:
                        for at in range(40):
                            stranger.sendto((b"hh" if at % 2 else b"") + os.urandom(40 + at * 30), (host, int(port)))
                            flooded += 1
                        await asyncio.sleep(0.004)

                async def load() -> None:
                    for number in range(REQUESTS):
                        assert await made.request("n0", 1 + number, number % 3, 6) == 200

                task = asyncio.create_task(flood())
                try:
                    assert await holds_while(none_dead(made, names), load()) > 0
                finally:
                    flooding = False
                    await task
                kinds = [await counted(made, "n0", f"dropped_{kind}") for kind in ("unknown", "unauthentic")]
                assert flooded > 1_000 and min(kinds) > 10, (flooded, kinds)
                try:
                    heard = stranger.recv(2_000)
                except BlockingIOError:
                    heard = b""
                assert heard == b""
            sent.within(BYTES_S)
            assert (await counted(made, "n0", "deaths"), made[names[0]].resident_mb() < 400) == (0, True)
            await wait_until(all_see(made, names), BOUND_S)

    run(main())
