"""The experiments behind docs/CAPACITY.md still run, at a small size."""

from __future__ import annotations

from hophinge.fleet.emulation.slopes import fit, sent
from hophinge.fleet.emulation.samples import configuration_document, instance, placement, gossip_store
from hophinge.coordination.dissemination import Digest, Push
from hophinge.fleet.registry.instance import record_of


def test_a_fit_returns_the_line() -> None:
    line = fit("x", "u", lambda size: 3.0 + 2.0 * size, (10, 20, 40))
    assert abs(line.base - 3.0) < 1e-6
    assert abs(line.each - 2.0) < 1e-6
    assert line.at(100) == line.base + 100 * line.each
    assert line.error < 1e-6


def test_samples_exist_at_a_small_size() -> None:
    assert len(gossip_store(20).records) == 20
    assert len(placement(5).nodes) == 5
    assert b"/t000013/" in configuration_document(20)


def test_a_digest_has_a_constant_size_and_records_a_linear_one() -> None:
    small, large = gossip_store(200), gossip_store(2_000)
    assert abs(sent(Digest(small.fingerprints(0.0))) - sent(Digest(large.fingerprints(0.0)))) < 20
    sizes = [sent(Push(tuple(record_of(instance(number), 1) for number in range(count)))) for count in (1, 2, 20)]
    each = sizes[1] - sizes[0]
    assert abs(sizes[2] - (sizes[0] + 19 * each)) < 0.05 * sizes[2]
