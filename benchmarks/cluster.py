"""Members in virtual time and as real processes: time to find a death, false suspicions, bytes, healing of a split.

`python benchmarks/cluster.py` runs all and writes benchmarks/cluster.md; `--only NAME` runs one and prints its row.
"""

from __future__ import annotations

import argparse
import gc
import json
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.cluster.actions import MemberChanged  # noqa: E402 - the checkout's own
from hophinge.cluster.interface import MemberState, Topic  # noqa: E402
from tests.cluster_member import MemberProcess, wait_for  # noqa: E402
from tests.cluster_network import SECOND, Network, Node  # noqa: E402

CALM_S, CUT_S, MAX_S = 20.0, 20.0, 300.0
SIZES, LOSSES = (10, 100, 1000), (0.0, 0.3)
HEAD = {
    "members": (
        "members",
        "loss",
        "deaths found by all others, median s",
        "longest s",
        "false suspicions a minute and member",
        "false deaths",
        "bytes/s a process, mean",
        "most in any second",
        "bound",
    ),
    "split": (
        "members",
        "loss",
        "entries of each member",
        "all agree after healing, s",
        "bytes/s a process meanwhile",
        "most in any second",
        "bound",
    ),
    "real": (
        "processes",
        "joined after s",
        "death found by all, median s",
        "longest s",
        "bytes/s a process, mean",
        "CPU of one core a process, mean",
        "most",
    ),
}


class Forgotten(list[Any]):
    """In the place of what nobody looks at: at 1,000 members it would be gigabytes."""

    def append(self, one: Any) -> None:
        """Keep nothing."""


def fleet(count: int, loss: float, seed: int) -> tuple[Network, list[Node]]:
    """Start members that know each other, as after a start that is over."""
    net = Network(seed, loss=loss)
    names = [f"n{number:04}" for number in range(count)]
    nodes = [net.start(name, [f"{one}:7000" for one in names[:2]]) for name in names]
    records = [node.machine.core.members.own_record for node in nodes]
    for node in nodes:
        for record in records:
            if record.name != node.machine.own_name:
                node.machine.core.members.update(record, net.now_us)
    net.run(2)
    return net, nodes


def agreed(nodes: list[Node]) -> bool:
    """Tell whether all hold the same of all of them."""
    rosters = [node.machine.core.members for node in nodes]
    return all(len(one.live) == len(nodes) and one.buckets == rosters[0].buckets for one in rosters)


def news(nodes: list[Node], since_us: int, standing: MemberState, names: set[str]) -> list[tuple[int, str]]:
    """Tell when members first heard that one of these names stands so."""
    found = []
    for node in nodes:
        seen = set()
        for when, what in node.notifications:
            if (
                isinstance(what, MemberChanged)
                and when > since_us
                and what.member.state is standing
                and what.member.name in names
                and what.member.name not in seen
            ):
                seen.add(what.member.name)
                found.append((when, what.member.name))
    return found


def sent(nodes: list[Node], since_us: int, until_us: int) -> float:
    """Tell the mean of bytes a second and process."""
    total = sum(size for node in nodes for when, size in node.sent if since_us < when <= until_us)
    return total / len(nodes) / ((until_us - since_us) / SECOND)


def members(count: int, loss: float) -> list[Any]:
    """Run calm for a while, then kill some at once."""
    net, nodes = fleet(count, loss, 5)
    calm_s = CALM_S if count < 1000 else 10.0
    began = net.now_us
    net.run(calm_s)
    # As one member sees all others: each suspicion of a living one that reached it.
    suspected = sum(
        isinstance(what, MemberChanged) and what.member.state is MemberState.SUSPECT and when > began
        for when, what in nodes[0].notifications
    )
    calm = sent(nodes, began, net.now_us)
    dead, rest = nodes[-max(1, count // 50) :], nodes[: -max(1, count // 50)]
    killed = net.now_us
    for node in dead:
        net.kill(node)
    gone = {node.machine.own_name for node in dead}
    net.until(lambda: all(not gone & node.machine.core.members.live.keys() for node in rest), MAX_S, 0.5)
    found = [(when - killed) / SECOND for when, _ in news(rest, killed, MemberState.DEAD, gone)]
    false = len(news(rest, began, MemberState.DEAD, {node.machine.own_name for node in rest}))
    complete = "" if len(found) >= len(rest) * len(gone) else f" ({len(found)} of {len(rest) * len(gone)} views)"
    return [
        count,
        f"{loss:.0%}",
        f"{statistics.median(found):.1f}{complete}",
        f"{max(found):.1f}",
        f"{suspected / count / calm_s * 60:.2f}",
        false,
        f"{calm:.0f}",
        max(map(net.max_bytes_s, nodes)),
        nodes[0].machine.core.limits.bytes_s,
    ]


def split(count: int, loss: float) -> list[Any]:
    """Cut in two halves for a while, with entries set on both sides, and heal."""
    net, nodes = fleet(count, loss, 6)
    for node in nodes:
        node.notifications = Forgotten()
    half = {node.address for node in nodes[::2]}
    net.is_cut = lambda source, target: (source in half) != (target in half)
    entries = 3 if count < 1000 else 1
    for node in nodes:
        for number in range(entries):
            node.machine.put(Topic.WEIGHTS, f"w{number}", node.address.encode() * 10)
    net.run(CUT_S)
    net.is_cut = lambda source, target: False
    healed = net.now_us
    done = net.until(lambda: agreed(nodes), MAX_S, 0.25)
    took = (net.now_us - healed) / SECOND
    return [
        count,
        f"{loss:.0%}",
        f"{entries} of 100 bytes",
        f"{took:.1f}" if done else f"not within {MAX_S:.0f}",
        f"{sent(nodes, healed, net.now_us):.0f}",
        max(map(net.max_bytes_s, nodes)),
        nodes[0].machine.core.limits.bytes_s,
    ]


def real(count: int, loss: float) -> list[Any]:
    """Start real processes on loopback, leave them alone for a while, and kill one three times."""
    with tempfile.TemporaryDirectory() as folder:
        started: list[MemberProcess] = []
        try:
            began = time.monotonic()
            started.append(MemberProcess(Path(folder), "m0", []))
            for number in range(1, count):
                started.append(MemberProcess(Path(folder), f"m{number}", [started[0].address]))
            assert wait_for(lambda: all(len(one.member_states()) == count for one in started), 120)
            joined = time.monotonic() - began
            before, at = [one.request() for one in started], time.monotonic()
            time.sleep(CALM_S)
            after, calm_s = [one.request() for one in started], time.monotonic() - at
            cpu = [(new["cpu_s"] - old["cpu_s"]) / calm_s for old, new in zip(before, after, strict=True)]
            bytes_ = [
                (new["counters"]["bytes_sent"] - old["counters"]["bytes_sent"]) / calm_s
                for old, new in zip(before, after, strict=True)
            ]
            took = []
            for _ in range(3):
                victim = started.pop()
                victim.process.kill()
                killed = time.monotonic()
                assert wait_for(
                    lambda name=victim.name: all(  # type: ignore[misc] # bound in its turn
                        one.member_states()[name] == "dead" for one in started
                    ),
                    120,
                )
                took.append(time.monotonic() - killed)
                victim.kill()
            return [
                count,
                f"{joined:.1f}",
                f"{statistics.median(took):.1f}",
                f"{max(took):.1f}",
                f"{statistics.mean(bytes_):.0f}",
                f"{statistics.mean(cpu):.2%}",
                f"{max(cpu):.2%}",
            ]
        finally:
            for one in started:
                one.kill()


def main() -> None:
    """Run all in processes of their own, and write the table."""
    asked = argparse.ArgumentParser()
    asked.add_argument("--only", nargs=3, metavar=("WHAT", "COUNT", "LOSS"))
    only = asked.parse_args().only
    kinds = {"members": members, "split": split, "real": real}
    if only:
        began = time.monotonic()
        gc.disable()  # hardly anything here is a cycle, and each full look is at millions of objects
        row = kinds[only[0]](int(only[1]), float(only[2]))
        print(json.dumps(row))
        print(f"{only}: {time.monotonic() - began:.0f} s", file=sys.stderr)
        return
    text = [
        "# Members: what was measured",
        "",
        "One command, `python benchmarks/cluster.py`; seeds are fixed. In",
        "virtual time a way takes 0.2 to 2 ms; one member in fifty is killed, all at once, and of ten one.",
    ]
    titles = {
        "members": "Virtual time: deaths and suspicions",
        "split": "Virtual time: a split of 20 s in two halves heals",
        "real": "Real processes on loopback, one killed three times, beside other work",
    }
    for kind, title in titles.items():
        text += ["", f"## {title}", "", "| " + " | ".join(HEAD[kind]) + " |", "| --- " * len(HEAD[kind]) + "|"]
        for count, loss in [(10, 0.0), (40, 0.0)] if kind == "real" else [(n, p) for n in SIZES for p in LOSSES]:
            done = subprocess.run(
                [sys.executable, __file__, "--only", kind, str(count), str(loss)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            row = json.loads(done.stdout) if done.returncode == 0 else [count, f"{loss:.0%}", "not measured"]
            text.append("| " + " | ".join(map(str, row)) + " |")
            print(text[-1], flush=True)
    (ROOT / "benchmarks" / "cluster.md").write_text("\n".join(text) + "\n")


if __name__ == "__main__":
    main()
