"""Scorers found by name, errors that name section and key, and the example package as if it were installed."""

from __future__ import annotations

import importlib
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hophinge.core.errors import HophingeError
from hophinge.head.operator_config import OperatorConfig
from hophinge.head.scoring import find, make, parameters
from hophinge.head.sections import ScoringConfig
from hophinge.scoring.errors import (
    ScorerInterfaceError,
    ScorerParametersError,
    ScorerUnknownError,
    ScorerUnusableError,
)
from hophinge.scoring.interface import GROUP
from tests.scoring_fixtures import ASK, MAX_US, SETTING, engine, install, observations

EXAMPLE = Path(__file__).parent.parent / "examples" / "scorer"
PLUGIN = """
    from msgspec import Struct
    from hophinge.scoring.interface import INTERFACE, Kind, Scorer, scorer_impl

    class Parameters(Struct):
        pass

    @scorer_impl
    def hophinge_scorer():
        return Kind({name!r}, {interface}, Parameters, {make})
    """


@pytest.fixture
def site(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Path]:
    """A directory of installed packages."""
    monkeypatch.syspath_prepend(str(tmp_path))
    before = set(sys.modules)
    yield tmp_path
    for name in set(sys.modules) - before:
        if name.startswith(("brought", "hophinge_own_zone", "test_own_zone")):
            del sys.modules[name]


def test_the_example_is_found_by_its_entry_point_and_passes_its_own_test(
    site: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    project = tomllib.loads((EXAMPLE / "pyproject.toml").read_text())["project"]
    install(site, "hophinge_own_zone", project["entry-points"][GROUP])
    monkeypatch.syspath_prepend(str(EXAMPLE))
    config = ScoringConfig(["suspicion", "own-zone"], parameters={"own-zone": {"zone": 0, "beyond_us": 1_500}})
    scorers, versions = make(config, SETTING)
    assert versions == {"suspicion": "suspicion-1", "own-zone": ""}
    head = engine(scorers)
    assert head.added_us(0, ASK, observations("a", "b", "c")) == {"b": 1_500.0, "c": 1_500.0}
    with pytest.raises(ScorerParametersError, match=r"\[scoring.parameters.own-zone\] .*`zone`"):
        make(ScoringConfig(["own-zone"]), SETTING)
    with pytest.raises(ScorerParametersError, match="beyond_us must be from 0 to 1000000"):
        make(ScoringConfig(["own-zone"], parameters={"own-zone": {"zone": 0, "beyond_us": -1}}), SETTING)
    own = importlib.import_module("test_own_zone")
    checks = [check for name, check in vars(own).items() if name.startswith("test_")]
    assert len(checks) == 2
    for check in checks:
        check()


def test_the_built_in_scorers_are_created_from_an_operators_file() -> None:
    text = """
        [scoring]
        scorers = ["latency", "suspicion", "outlook"]
        most_part = 0.2
        [scoring.parameters.latency]
        quantile = 0.95
        [scoring.parameters.suspicion]
        half_life_s = 30
        """
    config = msgspec.toml.decode(text, type=OperatorConfig).scoring
    assert config is not None
    scorers, versions = make(config, SETTING)
    assert list(scorers) == ["latency", "suspicion", "outlook"] and versions["latency"] == "latency-1"
    assert engine(scorers).added_us(0, ASK, observations("a")) == {}


@pytest.mark.parametrize(
    ("rows", "message"),
    [
        ({"quantile": "high"}, "[scoring.parameters.latency] quantile: Expected `float`, got `str`"),
        (
            {"quantil": 0.9},
            "[scoring.parameters.latency] quantil: there is no such key; there are: quantile, half_life_s, tolerance",
        ),
        ({"quantile": 1.5}, "[scoring.parameters.latency] quantile must be between 0 and 1"),
    ],
)
def test_an_invalid_parameter_is_reported_with_section_and_key(rows: dict[str, Any], message: str) -> None:
    with pytest.raises(ScorerParametersError) as caught:
        parameters(find("latency"), rows)
    assert caught.value.what == message


def test_invalid_names_are_reported(site: Path) -> None:
    install(site, "brought_old", {"old": "brought_old"}, PLUGIN.format(name="old", interface=0, make="None"))
    install(site, "brought_other", {"other": "brought_other"}, PLUGIN.format(name="x", interface=1, make="None"))
    install(site, "brought_broken", {"broken": "brought_broken"}, "raise SystemError('boom')")
    install(
        site,
        "brought_unmade",
        {"unmade": "brought_unmade"},
        PLUGIN.format(name="unmade", interface=1, make="lambda parameters, setting: 1 // 0"),
    )
    install(site, "brought_empty", {"empty": "brought_empty"}, "")
    install(site, "brought_twin", {"twin": "brought_twin"}, PLUGIN.format(name="twin", interface=1, make="None"))
    install(site, "brought_twin2", {"twin": "brought_twin2"}, PLUGIN.format(name="twin", interface=1, make="None"))
    cases: list[tuple[list[str], dict[str, dict[str, Any]], type[HophingeError], str]] = [
        (["none"], {}, ScorerUnknownError, "there is no scorer 'none'"),
        (["old"], {}, ScorerInterfaceError, "version 0 of the interface, this is 1"),
        (["other"], {}, ScorerUnusableError, "provides 'x'"),
        (["broken"], {}, ScorerUnusableError, "SystemError: boom"),
        (["unmade"], {}, ScorerUnusableError, "ZeroDivisionError"),
        (["empty"], {}, ScorerUnusableError, "has no hophinge_scorer"),
        (["twin"], {}, ScorerUnusableError, "has several entry points: brought_twin, brought_twin2"),
        (["latency", "latency"], {}, ScorerParametersError, "'latency' is named twice"),
        (["latency"], {"latancy": {}}, ScorerParametersError, "[scoring.parameters.latancy]"),
    ]
    for names, rows, kind, message in cases:
        with pytest.raises(kind) as caught:
            make(ScoringConfig(names, parameters=rows), SETTING)
        assert message in caught.value.what
    # A package that is not named is not even imported.
    assert find("latency").name == "latency" and "brought_empty" in sys.modules
    install(site, "brought_idle", {"idle": "brought_idle"}, "raise SystemError('imported')")
    assert find("suspicion").name == "suspicion" and "brought_idle" not in sys.modules


def test_a_package_cannot_replace_a_built_in_scorer(site: Path) -> None:
    install(site, "brought_evil", {"latency": "brought_evil"}, PLUGIN.format(name="latency", interface=1, make="None"))
    scorers, _ = make(ScoringConfig(["latency"]), SETTING)
    assert type(scorers["latency"]).__module__ == "hophinge.scoring.latency" and "brought_evil" not in sys.modules
    assert engine(scorers).guard.max_added_us == MAX_US
