"""What other processes, disks, operators and clients see stays the same: recorded bytes, tables, settings and names.

The fixtures were written by the program before its names were changed. `python -m tests.test_outer_forms` writes them
anew; a change of one is a change of the wire, of stored data or of an interface, and belongs to a commit that says so.
"""

from __future__ import annotations

import ast
import builtins
import importlib
import json
import pkgutil
import tomllib
import types
import warnings
from dataclasses import fields
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import typer

from hophinge.admin import openapi, schemas
from hophinge.admin.api import OPERATIONS
from hophinge.cluster import messages as cluster_messages
from hophinge.control import rollout
from hophinge.control import last_known_good
from hophinge.control.store import ControlStore
from hophinge.coordination import codec
from hophinge.coordination.messages import LogRecord, StateRecord
from hophinge.coordination.storage.stores import replica_store
from hophinge.core.interface import Result
from hophinge.core.manual_ejections import ManualEjection
from hophinge.fleet.analysis import recipes
from hophinge.fleet.configuration.document import validate_document
from hophinge.fleet.controlplane import counter_host
from hophinge.fleet.controlplane.schemas import HeartbeatBody
from hophinge.fleet.forwarding import attempt_results, trace
from hophinge.fleet.forwarding.trace import RequestTrace
from hophinge.fleet.placement import plan
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.settings import parse_settings
from hophinge.head import accounts, config, operator_config, process_handoff
from hophinge.head.environment import CONFIG_FILE
from hophinge.maintenance import messages, permits, releases, statements
from hophinge.net import discovery
from hophinge.objects import stored_records as object_records
from hophinge.objects import account_access
from hophinge.routing import records
from hophinge.routing import maintenance_records
from hophinge.scoring import interface as scoring_interface
from hophinge.scoring import encoding, latency, outlook, suspicion
from hophinge.state import rows
from hophinge.state.files import load, save
from hophinge.state.ledger import Ledger
from hophinge.tenancy import records as tenancy_records
from hophinge.tenancy import share_leases
from tests.outer_forms import sample

ROOT = Path(__file__).parent.parent
FIXTURES = Path(__file__).parent / "fixtures" / "outer_forms"
MESSAGE_PACKAGES = (
    "hophinge.coordination",
    "hophinge.fleet.placement",
    "hophinge.fleet.registry",
    "hophinge.fleet.transport",
)
Encode = Callable[[object], bytes]
json_bytes: Encode = msgspec.json.encode
msgpack_bytes: Encode = msgspec.msgpack.encode

# By a label that no rename touches: the class, and how it is written.
STRUCTS: dict[str, tuple[Any, Encode]] = {
    "admin: new tenant": (schemas.NewTenant, json_bytes),
    "admin: tenant change": (schemas.TenantChange, json_bytes),
    "admin: volume body": (schemas.VolumeBody, json_bytes),
    "admin: new key": (schemas.NewKey, json_bytes),
    "admin: rotation": (schemas.Rotation, json_bytes),
    "admin: tenant": (schemas.TenantShown, json_bytes),
    "admin: volume": (schemas.VolumeShown, json_bytes),
    "admin: key": (schemas.KeyShown, json_bytes),
    "admin: made key": (schemas.KeyMade, json_bytes),
    "admin: page of tenants": (schemas.TenantPage, json_bytes),
    "admin: page of volumes": (schemas.VolumePage, json_bytes),
    "admin: page of keys": (schemas.KeyPage, json_bytes),
    "admin: plans": (schemas.Plans, json_bytes),
    "admin: usage": (schemas.UsageShown, json_bytes),
    "admin: audit row": (schemas.AuditRow, json_bytes),
    "admin: audit page": (schemas.AuditPage, json_bytes),
    "discovery: target": (discovery.Target, json_bytes),
    "discovery: list": (discovery.Listing, json_bytes),
    "discovery: what leaves": (discovery.DrainingEntry, json_bytes),
    "discovery: list of raw entries": (discovery.RawListing, json_bytes),
    "document: plan": (records.PlanOverride, json_bytes),
    "document: pool": (records.Pool, json_bytes),
    "document: tenant": (records.TenantRule, json_bytes),
    "document: route": (records.Route, json_bytes),
    "document: limit": (records.Limit, json_bytes),
    "document: retries": (records.RetryRule, json_bytes),
    "document: spare": (records.SpareSharing, json_bytes),
    "document: eject": (records.EjectionRule, json_bytes),
    "document: rollout": (records.RolloutRule, json_bytes),
    "document: maintenance": (maintenance_records.MaintenanceRule, json_bytes),
    "document: outage": (maintenance_records.Outage, json_bytes),
    "document: release": (maintenance_records.Release, json_bytes),
    "control store: course of a version": (rollout.RolloutPlan, json_bytes),
    "control store: permit": (permits.Permit, json_bytes),
    "control store: course of a release": (releases.ReleaseProgress, json_bytes),
    "control stream: report": (messages.HeadReport, json_bytes),
    "control stream: word": (messages.PermitUpdate, json_bytes),
    "control stream: lease": (share_leases.ShareLease, json_bytes),
    "head file: last good": (last_known_good.LastKnownGood, msgpack_bytes),
    "head file: marks": (process_handoff.EjectionFile, json_bytes),
    "head file: mark": (ManualEjection, json_bytes),
    "ledger: audit entry": (rows.AuditEntry, json_bytes),
    "ledger: open upload": (accounts.Upload, json_bytes),
    "ledger: account": (tenancy_records.Account, json_bytes),
    "ledger: bucket": (tenancy_records.Bucket, json_bytes),
    "ledger: key": (tenancy_records.Key, json_bytes),
    "board: drain statement": (statements.Statement, msgpack_bytes),
    "board: scorer's table": (encoding.WeightTable, msgpack_bytes),
    "object: manifest": (object_records.Manifest, msgpack_bytes),
    "object: part": (object_records.Part, msgpack_bytes),
    "object: upload": (object_records.Upload, msgpack_bytes),
    "accounts' old file": (account_access.OldFile, json_bytes),
    **{f"cluster: part {number}": (kind, msgpack_bytes) for number, kind in cluster_messages.MESSAGE_TYPES.items()},
}
CONFIGURATIONS: dict[str, Any] = {
    "operator's file": operator_config.OperatorConfig,
    "head's configuration": config.Config,
    "scorer outlook": outlook.Parameters,
    "scorer latency": latency.Parameters,
    "scorer suspicion": suspicion.Parameters,
}
DEPLOYED = (
    "deploy/balancer.toml",
    "deploy/cluster.toml",
    "deploy/objects.toml",
    "deploy/stream.toml",
    "deploy/system.toml",
    "deploy/together.toml",
    "examples/config.json",
    "examples/operator.toml",
)
SETTINGS = {
    "node-name": "edge-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r", "b": "r"},
    "listen-addresses": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "control": "127.0.0.1:3"},
    "internal-port-range": [7000, 7001],
    "seed-nodes": ["127.0.0.1:3"],
    "bootstrap": True,
    "counts-for-quorum": True,
    "data-dir": "/nowhere",
    "heartbeat-ms": 250,
    "fault-tolerance": {"machines": 1},
    "bounds": {
        "config-apply-ms": 1,
        "drain-ms": 2,
        "grace-s": 3,
        "retry-budget-ratio": 0.4,
        "retry-budget-slack": 5,
        "budget-window-s": 6,
        "transit-ms": 7,
        "lease-ms": 8,
    },
}
DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "chat",
            "host": "h",
            "path-prefix": "/",
            "route-type": "safe",
            "timeout-ms": 900,
            "target-latency-ms": 300,
            "priority": 2,
            "traffic-split": [{"service": "s", "weight": 2}],
            "max-attempts": 2,
        }
    ],
    "services": [{"name": "s", "health-check-path": "/h", "max-connections": 9}],
    "limits": {"max-header-bytes": 1024, "max-body-bytes": 4096, "header-timeout-ms": 5, "idle-timeout-ms": 6},
}
HEARTBEAT = {
    "service": "s",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "1",
    "slots": 2,
    "state": "draining",
    "stage": "decode",
    "models": [{"name": "m", "version": 4}],
    "cold-remaining-ms": 1500.0,
    "sequence": 8,
}


class MemoryVolume:
    """A folder of files in memory."""

    def __init__(self, files: dict[str, bytes]) -> None:
        self.files = {name: bytearray(data) for name, data in files.items()}

    def read(self, name: str) -> bytes:
        return bytes(self.files.get(name, b""))

    def write(self, name: str, offset: int, data: bytes) -> None:
        file = self.files.setdefault(name, bytearray())
        file[offset : offset + len(data)] = data

    def sync(self, name: str) -> None:
        assert name in self.files

    def close(self) -> None:
        """Nothing is open."""


def import_messages() -> None:
    """Import the packages whose classes are registered as messages.

    No more than these: the charts' library leaves an import hook behind, which other tests of the process would meet.
    """
    for package in MESSAGE_PACKAGES:
        module = importlib.import_module(package)
        for inner in pkgutil.walk_packages(module.__path__, f"{package}."):
            importlib.import_module(inner.name)


def coordination_messages() -> dict[str, str]:
    """The bytes of each message of the control group and of the fleet's links, by its number."""
    import_messages()
    return {
        str(tag - codec.TAG_BASE): codec.encode(sample(kind)).hex() for tag, kind in sorted(codec._class_by_tag.items())
    }


def structs() -> dict[str, str]:
    """The bytes of each form that is written as JSON or MessagePack, by its label."""
    return {label: encode(sample(kind)).hex() for label, (kind, encode) in STRUCTS.items()}


def replica_volume() -> dict[str, str]:
    """The files of a replica's disk."""
    volume = MemoryVolume({})
    store = replica_store(volume)
    state, record = sample(StateRecord), sample(LogRecord)
    assert isinstance(state, StateRecord)
    store.save(state)
    store.append([record, record])  # type: ignore[list-item]
    return {name: bytes(data).hex() for name, data in volume.files.items()}


def tables(folder: Path) -> dict[str, list[str]]:
    """The tables of both SQLite files, as SQLite keeps their text."""
    ledger, store = Ledger(folder / "ledger.db"), ControlStore(folder / "control.db")
    query = "SELECT sql FROM sqlite_master WHERE sql IS NOT NULL ORDER BY name"
    try:
        return {
            "ledger": [row[0] for row in ledger.db.execute(query)],
            "control store": [row[0] for row in store.db.execute(query)],
        }
    finally:
        ledger.close()
        store.close()


def file_header(folder: Path) -> str:
    """A file that must last, written by `state.files`."""
    path = folder / "file"
    save(path, "drains", 1, b'{"p":"b"}')
    return path.read_bytes().hex()


def class_fields(kind: Any) -> dict[str, Any]:
    """The outer names of a settings class and of those inside it."""
    found: dict[str, Any] = {}
    for field in msgspec.structs.fields(kind):
        inner = next(
            (one for one in getattr(field.type, "__args__", (field.type,)) if hasattr(one, "__struct_fields__")), None
        )
        found[field.encode_name] = class_fields(inner) if inner is not None else None
    return found


def trial_names() -> dict[str, list[str]]:
    """The names of a trial's policy file and of a line of the request log."""
    return {
        "policy": sorted(field.name for field in fields(PlacementPolicy)),
        "request": sorted(RequestTrace.__dataclass_fields__),
    }


def public_names(module: Any) -> list[str]:
    """The public names of a module and of its classes, with their fields and parameters."""
    found: set[str] = set()
    for name, value in vars(module).items():
        is_imported = isinstance(value, (type, types.FunctionType)) and value.__module__ != module.__name__
        if name.startswith("_") or is_imported or isinstance(value, (types.ModuleType, type(annotations))):
            continue
        found.add(name)
        if isinstance(value, type):
            members = [member for member in vars(value) if not member.startswith("_")]
            found |= {f"{name}.{member}" for member in members}
            public_fields = [field for field in getattr(value, "__struct_fields__", ()) if not field.startswith("_")]
            found |= {f"{name}.{field}" for field in public_fields}
    return sorted(found)


def exception_names() -> list[str]:
    """The exception classes of the program: log lines and statuses show their names."""
    trees = [ast.parse(path.read_text()) for path in (ROOT / "hophinge").rglob("*.py")]
    classes = [node for tree in trees for node in ast.walk(tree) if isinstance(node, ast.ClassDef)]
    parents = {node.name: {ast.unparse(base).split(".")[-1] for base in node.bases} for node in classes}
    known = {name for name, value in vars(builtins).items() if isinstance(value, type) and issubclass(value, Exception)}
    found: set[str] = set()
    while more := {name for name, bases in parents.items() if name not in found and bases & (known | found)}:
        found |= more
    return sorted(found)


def reflected_names() -> dict[str, list[str]]:
    """The names that are written out by reflection: Python names that leave the process as they are."""
    return {
        "counter status": [field.name for field in fields(counter_host.CounterStatus)],
        "recipe": [field.name for field in fields(recipes.Recipe)],
        "attempt of a trace": [field.name for field in fields(trace.Attempt)],
        "forecast of an attempt": [field.name for field in fields(plan.Forecast)],
        "ending of an attempt": [outcome.name for outcome in attempt_results.AttemptOutcome],
        "operation of the administration API": sorted(operation.name for operation in OPERATIONS),
        "schema of the administration API": sorted(openapi.description()["components"]["schemas"]),
        "plug-in interface": public_names(scoring_interface),
        "result in the plug-in interface": [result.name for result in Result],
        "exception": exception_names(),
    }


def key_strings() -> list[str]:
    """The strings by which the program writes or reads mappings: names of statuses, figures, headers and fields."""
    found: set[str] = set()
    for path in (ROOT / "hophinge").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            keys = node.keys if isinstance(node, ast.Dict) else [node.slice] if isinstance(node, ast.Subscript) else []
            found |= {key.value for key in keys if isinstance(key, ast.Constant) and isinstance(key.value, str)}
    return sorted(found)


def all_names() -> set[str]:
    """All strings of the program and all fields of its classes, by which an outer name can be written."""
    found: set[str] = set()
    for path in (ROOT / "hophinge").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found.add(node.value)
            elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                found.add(node.target.id)
    return found


def deployed() -> dict[str, str]:
    """The deploy files and examples of the day, whole: what an operator has, a newer version reads."""
    return {name: (ROOT / name).read_text() for name in DEPLOYED}


def commands(command: Any) -> dict[str, Any]:
    """The words of a command line: options and arguments of a command, and its commands."""
    found: dict[str, Any] = {"options": sorted(name for one in command.params for name in one.opts if name != "--help")}
    inner = getattr(command, "commands", {})
    return {**found, **{name: commands(one) for name, one in sorted(inner.items())}}


def command_lines() -> dict[str, Any]:
    """The words of the command line of what is in service."""
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", ImportWarning)  # of the import hook that the charts' library leaves behind
        from hophinge.cli import main
    return commands(typer.main.get_command(main.app))


def recorded(name: str) -> Any:
    """A fixture."""
    return json.loads((FIXTURES / f"{name}.json").read_text())


def test_messages_between_processes_of_the_fleet_have_the_recorded_bytes() -> None:
    assert coordination_messages() == recorded("coordination_messages")


def test_recorded_messages_are_read_as_the_values_that_they_were_made_of() -> None:
    import_messages()
    for number, data in recorded("coordination_messages").items():
        assert codec.decode(bytes.fromhex(data)) == sample(codec._class_by_tag[codec.TAG_BASE + int(number)])


@pytest.mark.parametrize("label", STRUCTS)
def test_a_form_has_the_recorded_bytes_and_is_read_from_them(label: str) -> None:
    kind, encode = STRUCTS[label]
    data = bytes.fromhex(recorded("structs")[label])
    assert encode(sample(kind)) == data
    decode = msgspec.json.decode if encode is json_bytes else msgspec.msgpack.decode
    assert encode(decode(data, type=kind)) == data


def test_no_recorded_form_is_left_out() -> None:
    assert recorded("structs").keys() == STRUCTS.keys()


def test_a_replicas_disk_is_written_as_recorded_and_read_back() -> None:
    assert replica_volume() == recorded("replica_volume")
    store = replica_store(
        MemoryVolume({name: bytes.fromhex(data) for name, data in recorded("replica_volume").items()})
    )
    found = store.recover()
    assert found.state == sample(StateRecord) and found.records == (sample(LogRecord), sample(LogRecord))


def test_tables_of_both_stores_are_those_recorded(tmp_path: Path) -> None:
    assert tables(tmp_path) == recorded("tables")


def test_a_lasting_file_is_written_as_recorded_and_read_back(tmp_path: Path) -> None:
    assert file_header(tmp_path) == recorded("file")
    path = tmp_path / "old"
    path.write_bytes(bytes.fromhex(recorded("file")))
    assert load(path, "drains", range(1, 2)) == (1, b'{"p":"b"}')


def test_settings_files_and_documents_are_read_by_their_recorded_names() -> None:
    settings = parse_settings(recorded("settings"))
    seen = repr(settings)
    for value in ("edge-1", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:7000", "0.001", "0.4", "0.008"):
        assert value in seen
    document = validate_document(json.dumps(recorded("document")).encode()).default_value(None)
    assert document is not None
    dumped = document.model_dump(by_alias=True, exclude_none=True)
    for name, value in recorded("document")["routes"][0].items():
        assert dumped["routes"][0][name] == value
    for name, value in recorded("document")["services"][0].items():
        assert dumped["services"][0][name] == value
    assert dumped["limits"] == recorded("document")["limits"]
    heartbeat = HeartbeatBody.model_validate(recorded("heartbeat")).model_dump(by_alias=True)
    assert heartbeat == recorded("heartbeat")


def test_operators_files_have_the_recorded_settings() -> None:
    assert {label: class_fields(kind) for label, kind in CONFIGURATIONS.items()} == recorded("configurations")


def test_a_trials_names_are_those_recorded() -> None:
    assert trial_names() == recorded("trials")


def test_names_written_by_reflection_are_those_recorded() -> None:
    assert reflected_names() == recorded("reflected")


def test_command_lines_have_the_recorded_words() -> None:
    assert command_lines() == recorded("commands")


def test_every_recorded_key_still_stands_in_the_program() -> None:
    assert not set(recorded("keys")) - all_names()


@pytest.mark.parametrize("name", DEPLOYED)
def test_recorded_deploy_files_are_read_and_keep_their_form(name: str, tmp_path: Path) -> None:
    text = recorded("deployed")[name]
    if name == "examples/config.json":
        path = tmp_path / "config.json"
        path.write_text(text)
        assert config.load({CONFIG_FILE: str(path)})[0].listen == json.loads(text)["listen"]
        return
    parsed = tomllib.loads(text)
    today = tomllib.loads((ROOT / name).read_text())
    if name in ("deploy/balancer.toml", "deploy/system.toml"):
        # Paths of the policy follow files that move; everything else is the platform's.
        for moving in ("policy", "node"):
            parsed.pop(moving, None)
            for path in today.pop(moving, []):
                assert (ROOT / path).exists(), f"{name} names {path}"
        assert parsed == today
    else:
        path = tmp_path / "operator.toml"
        path.write_text(text)
        assert msgspec.to_builtins(operator_config.load(str(path)), enc_hook=str).keys() >= parsed.keys()


def write_fixtures(folder: Path) -> None:
    """Write all fixtures; `folder` is one for temporary files."""
    FIXTURES.mkdir(parents=True, exist_ok=True)
    for name, value in {
        "coordination_messages": coordination_messages(),
        "structs": structs(),
        "replica_volume": replica_volume(),
        "tables": tables(folder),
        "file": file_header(folder),
        "settings": SETTINGS,
        "document": DOCUMENT,
        "heartbeat": HEARTBEAT,
        "configurations": {label: class_fields(kind) for label, kind in CONFIGURATIONS.items()},
        "trials": trial_names(),
        "reflected": reflected_names(),
        "keys": key_strings(),
        "commands": command_lines(),
        "deployed": deployed(),
    }.items():
        (FIXTURES / f"{name}.json").write_text(json.dumps(value, indent=1, ensure_ascii=False) + "\n")


if __name__ == "__main__":
    import tempfile

    with tempfile.TemporaryDirectory() as made:
        write_fixtures(Path(made))
