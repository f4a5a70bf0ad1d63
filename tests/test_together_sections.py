"""The operator's sections for processes that hold together: what they switch on, and what a mistake is told as."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

from hophinge.head.operator_config import OperatorConfig, load
from hophinge.head.sections import ClusterConfig, PopularityConfig, ScoringConfig
from hophinge.objects.config import ObjectConfig
from tests.stand_in import Backend, headers, run, world
from tests.test_net import WRITE

ROOT = Path(__file__).parent.parent
KEY = "0123456789abcdef" * 4


def test_a_head_with_peers_and_scorers_serves_alone_and_reports_them(tmp_path: Path) -> None:
    (tmp_path / "keys").write_text(KEY + "\n")
    operator = OperatorConfig(
        cluster=ClusterConfig("127.0.0.1:0", ["127.0.0.1:9"], tmp_path / "keys", "n0"),
        scoring=ScoringConfig(["latency", "suspicion"]),
    )

    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            service = await made.head(operator)
            wire = await made.wire(service)
            for number in range(1, 9):
                wire.send(WRITE, headers(number, X_Placement="units=2,shard=-1,hosts=1"), "PUT", b"x")
                assert (await wire.receive())[0] == 200
            assert service.control is not None
            told = {path: tell() for path, tell in service.control.reports.items()}
            assert '"standing": "alive"' in told["/ops/cluster"] and '"latency"' in told["/ops/scorers"]
            assert service.gauges()["scorers_left_out"] == 0
            assert service.exchange.scheduler.scorers is not None

    run(main())


def test_a_removed_tenant_leaves_the_cache(tmp_path: Path) -> None:
    (tmp_path / "secret").write_text(KEY)
    operator = OperatorConfig(
        objects=ObjectConfig("127.0.0.1:0", tmp_path / "tenants.json", "record-read", "transfer-write"),
        popularity=PopularityConfig(tmp_path / "secret"),
    )

    async def main() -> None:
        async with world(Backend(0)) as made:
            service = await made.head(operator)
            assert service.accounts is not None and service.cluster_services is not None
            popularity = service.cluster_services.popularity
            assert popularity is not None
            gone: list[str] = []
            popularity.cache.remove_tenant = gone.append  # type: ignore[method-assign, assignment]     # in place of its own
            service.accounts.tenant_ended("alba")
            assert gone == ["alba"]

    run(main())


@pytest.mark.parametrize(
    ("text", "position"),
    [
        ("[maintenance]\nzone = 'a'\n", "[maintenance] needs [stream]"),
        ("[popularity]\nsecret_file = 's'\n", "[popularity] needs [objects]"),
        ("[cluster]\nlisten = 'x'\nseeds = []\nkey_file = 'k'\n", "host:port"),
        ("[scoring]\nscorers = []\nmost_part = 2.0\n", "most_part"),
        ("[clutser]\n", "clutser"),
    ],
)
def test_an_invalid_section_is_reported_with_its_position(tmp_path: Path, text: str, position: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(ValueError, match=re.escape(position)):
        load(str(path))


def test_the_example_sections_are_parsed() -> None:
    assert load(str(ROOT / "deploy" / "together.toml")).scoring is not None


def test_the_platform_head_imports_none_of_the_cluster() -> None:
    """Started by a process of its own, as this one has imported everything."""
    code = "import sys\nfrom hophinge.head.main_import import import_main\nimport_main({})\nprint(*sys.modules)"
    told = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    parts = ("cluster", "peers", "maintenance", "scoring", "popularity")
    found = [name for name in told.split() if name.startswith("hophinge.") and any(part in name for part in parts)]
    assert "hophinge.head.main" in told.split() and found == []
