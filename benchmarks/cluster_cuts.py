"""One who hears nobody, and cuts that outlast memory, in virtual time: `python benchmarks/cluster_cuts.py [COUNT...]`.

Prints tables for benchmarks/cluster.md. The same file in a checkout of an earlier revision gives the figures before.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterable
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from hophinge.cluster.interface import MemberState  # noqa: E402 - the checkout's own
from tests.cluster_network import SECOND, Network, Node  # noqa: E402

SEEDS = range(1, 6)
MAX_S = 1_800.0
CUTS_S = (20.0, 60.0)
LONG_S = 900.0  # half as long again as the dead are listed


def spread(found: Iterable[float]) -> str:
    """Tell the median, and the least to the most."""
    rows = sorted(found)
    return f"{statistics.median(rows):.1f} ({rows[0]:.1f} to {rows[-1]:.1f})"


def bytes_s(nodes: list[Node], since_us: int, until_us: int) -> float:
    """Tell the mean of bytes a second and process."""
    total = sum(size for node in nodes for when, size in node.sent if since_us < when <= until_us)
    return total / len(nodes) / max(1e-6, (until_us - since_us) / SECOND)


def survivor(count: int) -> list[str]:
    """Kill all but one; tell when it suspects all, when it holds all dead, and what it sends meanwhile."""
    suspected, dead, sent, most = [], [], [], 0
    for seed in SEEDS:
        net = Network(seed)
        nodes = net.fleet(count, 120)
        one, began = nodes[0], net.now_us
        for node in nodes[1:]:
            net.kill(node)

        def others(one: Node = one) -> list[MemberState]:
            return [member.state for member in one.machine.members() if member.name != one.machine.own_name]

        assert net.until(lambda: MemberState.ALIVE not in others(), MAX_S, 0.25)
        suspected.append((net.now_us - began) / SECOND)
        assert net.until(lambda: not {MemberState.ALIVE, MemberState.SUSPECT} & set(others()), MAX_S, 0.25)
        dead.append((net.now_us - began) / SECOND)
        sent.append(bytes_s([one], began, net.now_us))
        most = max(most, net.max_bytes_s(one))
    return [str(count), spread(suspected), spread(dead), f"{statistics.mean(sent):.0f}", str(most)]


def calm(count: int, loss: float) -> list[str]:
    """Nobody dies for a minute: suspicions, and deaths, all of them false."""
    net = Network(7)
    nodes = net.fleet(count, 120)
    net.loss = loss
    net.run(5)
    before = [sum(node.machine.core.counters[name] for node in nodes) for name in ("suspicions", "deaths")]
    began = net.now_us
    net.run(60)
    found = [
        sum(node.machine.core.counters[name] for node in nodes) - old
        for name, old in zip(("suspicions", "deaths"), before, strict=True)
    ]
    return [
        str(count),
        f"{loss:.0%}",
        f"{found[0] / count:.2f}",
        str(found[1]),
        f"{bytes_s(nodes, began, net.now_us):.0f}",
        str(max(map(net.max_bytes_s, nodes))),
    ]


def cut_off(count: int, cut_s: float) -> list[str]:
    """Cut one off and let it back; tell how long until all agree, and how many others had to clear themselves."""
    took, refuted, sent = [], [], []
    for seed in SEEDS:
        net = Network(seed)
        nodes = net.fleet(count, 120)
        lonely = nodes[count // 2]
        rest = [node for node in nodes if node is not lonely]
        net.is_cut = lambda source, target: lonely.address in (source, target)  # noqa: B023 - called in its turn
        net.run(cut_s)
        net.is_cut = lambda source, target: False
        began = net.now_us
        before = {node.machine.own_name: node.machine.core.members.own_record.incarnation for node in rest}
        assert net.until(lambda: net.has_converged(nodes), 240, 0.25)  # noqa: B023
        took.append((net.now_us - began) / SECOND)
        refuted.append(
            float(
                sum(node.machine.core.members.own_record.incarnation > before[node.machine.own_name] for node in rest)
            )
        )
        sent.append(bytes_s(nodes, began, max(net.now_us, began + SECOND)))
    return [str(count), f"{cut_s:g}", spread(took), spread(refuted), f"{statistics.mean(sent):.0f}"]


def long_cut(side: int, other: int, loss: float) -> list[str]:
    """Cut two sides off from each other for a quarter of an hour; none knows a seed of the other side."""
    took, most = [], 0
    for seed in SEEDS:
        net = Network(seed)
        nodes = net.fleet(side + other, 120)
        net.loss = loss
        for node in nodes:
            node.machine.joiner.seeds = []
        inside = {node.address for node in nodes[:side]}
        net.is_cut = lambda source, target: (source in inside) != (target in inside)  # noqa: B023
        net.run(LONG_S)
        net.is_cut = lambda source, target: False
        began = net.now_us
        if net.until(lambda: net.has_converged(nodes), 300, 0.25):  # noqa: B023
            took.append((net.now_us - began) / SECOND)
        most = max(most, *map(net.max_bytes_s, nodes))
    healed = spread(took) if len(took) == len(SEEDS) else f"{len(took)} of {len(SEEDS)} within 300 s"
    return [f"{side} and {other}", f"{loss:.0%}", healed, str(most)]


def table(title: str, head: list[str], rows: Iterable[list[str]]) -> None:
    """Print a table, row by row."""
    print(f"\n## {title}\n\n| {' | '.join(head)} |\n{'| --- ' * len(head)}|", flush=True)
    for row in rows:
        print(f"| {' | '.join(row)} |", flush=True)


def main() -> None:
    """Print all tables."""
    counts = [int(word) for word in sys.argv[1:]] or [12, 40, 100]
    table(
        "All but one are killed at once; seeds 1 to 5, median (least to most)",
        ["members", "it suspects all others, s", "it holds them dead, s", "bytes/s, mean", "most in any second"],
        map(survivor, counts),
    )
    table(
        "Nobody dies for a minute",
        ["members", "loss", "suspicions a member", "deaths", "bytes/s a process", "most in any second"],
        (calm(count, loss) for count in counts for loss in (0.0, 0.3, 0.5)),
    )
    table(
        "One is cut off and comes back",
        ["members", "cut, s", "all agree after, s", "others that cleared themselves", "bytes/s a process until then"],
        (cut_off(count, cut_s) for count in counts for cut_s in CUTS_S),
    )
    table(
        f"Two sides are cut off for {LONG_S:g} s and know no seed of each other",
        ["sides", "loss", "all agree after, s", "most in any second"],
        (long_cut(*sides, loss) for sides in ((1, 1), (1, 11), (6, 6), (20, 20)) for loss in (0.0, 0.3)),
    )


if __name__ == "__main__":
    main()
