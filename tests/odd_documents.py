"""Configuration documents like those of deployments, but with one odd field: unusual, invalid or missing."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

HOST = "models.example"
ODD_PATH = "/odd/"  # path prefix of the first route
SPLIT_PATH = "/split/"
PLAIN_PATH = "/plain/"
NEW_PATHS = (ODD_PATH, SPLIT_PATH, PLAIN_PATH)
MARK = "@odd@"
REPEATED = "@repeated@"
CORRUPTIONS: dict[str, Callable[[str], bytes]] = {
    "cut": lambda text: text[:-1].encode(),
    "in UTF-16": lambda text: text.encode("utf-16"),
    "with a byte order mark": lambda text: b"\xef\xbb\xbf" + text.encode(),
    "with bytes that are no text": lambda text: text.replace('"plain"', '"pl\xff"').encode("latin-1"),
    "with more behind it": lambda text: text.encode() + b"{}",
}
Path = tuple[str | int, ...]

# Values, as JSON text, that replace each value of the document.
ODD_VALUES = (
    *("null", "true", "false", "0", "1", "-1", "0.5", "2.0", "7e0", "-0.0", "49", "1e-9", "1e9", "1e300", "1e400"),
    *("9007199254740993", "1" + "0" * 30, "1" * 400, "NaN", "Infinity", "-Infinity"),
    *('""', '" "', '"x"', '"4000"', '"1e3"', '" 7 "', '"true"', '"nan"', '"\\u00e9"', '"a\\u0000b"', '"\\ud800"'),
    *('"/"', '"/x"', '"x/"', '"//"', '"/../"', '"/a b/"', '"/a?b/"', '"/%zz/"', '"/\\u00e9/"'),
    *('"other.example:80"', '"[::1]"', '"Models.Example"', '"models.example."', '"a b"', '"safe"', '"keyed"', '"h2"'),
    *("[]", "{}", "[1]", '["x"]', "[null]", '{"x": 1}', "[[]]", "[{}]", "[" * 150 + "]" * 150, "[" * 900 + "]" * 900),
)


@dataclass(frozen=True, slots=True)
class OddDocument:
    """A document with an odd field at a path."""

    path: Path
    change: str  # what was changed at the path
    write: Callable[[int], bytes]  # returns the text of the document with a version

    @property
    def name(self) -> str:
        """The path of the odd field, and the change."""
        return f"{'.'.join(map(str, self.path))}={self.change[:40]}"


def complete_document(version: int) -> dict[str, Any]:
    """Return a document with all fields that deployments use, and an unknown one."""
    routes = [
        {"name": "odd", "path-prefix": ODD_PATH, "route-type": "safe", "service": "plain", "timeout-ms": 4_000},
        {
            "name": "split",
            "path-prefix": SPLIT_PATH,
            "route-type": "streaming",
            "timeout-ms": 8_000,
            "traffic-split": [{"service": "models", "weight": 90}, {"service": "more-models", "weight": 10}],
            "resumable": False,
            "gap_aim_ms": 250,
        },
        {"name": "plain", "path-prefix": PLAIN_PATH, "route-type": "unsafe", "service": "plain", "timeout-ms": 4_000},
    ]
    common = {"host": HOST, "target-latency-ms": 600, "priority": 1, "max-attempts": 2, "session-affinity": True}
    engine = {
        "slots": 8,
        "kv-cache-tokens": 400_000,
        "kv-token-bytes": 1_000,
        "link-mbps": 370_000.0,
        "stride": 8,
        "handle-ttl-s": 5.0,
        "stage-switch-s": 2.3,
        "models": [{"name": "m"}],
    }
    service = {"health-check-path": "/health", "max-connections": 100, "protocol": "h1", "tls": False}
    cold = {"cold-start-s": 0.0, "cold-per-s": 0.0}
    return {
        "version": version,
        "routes": [{**route, **common} for route in routes],
        "services": [
            {"name": "models", **service, "engine": engine, "unknown": {"deep": [1]}},
            {"name": "more-models", **service, "engine": dict(engine)},
            {"name": "plain", **service, **cold},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


def odd_documents() -> Iterator[OddDocument]:
    """Return all documents with one odd field."""
    for path in _paths(complete_document(1)):
        for value in ODD_VALUES:
            yield OddDocument(path, value, partial(_replaced, path, value))
        if path:
            yield OddDocument(path, "left out", partial(_left_out, path))
        if path and isinstance(path[-1], str):
            yield OddDocument(path, "misspelt", partial(_renamed, path, f"{path[-1]}s"))
            yield OddDocument(path, "other hyphens", partial(_renamed, path, path[-1].replace("-", "_")))
            for value in ("null", '"4000"', "{}"):
                yield OddDocument(path, f"repeated {value}", partial(_repeated, path, value))
        if path and isinstance(path[-1], int):
            yield OddDocument(path, "twice", partial(_doubled, path))
    for change, corrupt in CORRUPTIONS.items():
        yield OddDocument((), change, partial(_corrupted, corrupt))


def value_at(document: Any, path: Path) -> Any:
    """Return the value at a path."""
    for key in path:
        document = document[key]
    return document


def _paths(value: Any, path: Path = ()) -> Iterator[Path]:
    yield path
    children = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, child in children:
        yield from _paths(child, (*path, key))


def _replaced(path: Path, value: str, version: int) -> bytes:
    document = complete_document(version)
    if not path:
        return value.encode()
    value_at(document, path[:-1])[path[-1]] = MARK
    return json.dumps(document).replace(f'"{MARK}"', value).encode()


def _left_out(path: Path, version: int) -> bytes:
    document = complete_document(version)
    del value_at(document, path[:-1])[path[-1]]
    return json.dumps(document).encode()


def _renamed(path: Path, name: str, version: int) -> bytes:
    document = complete_document(version)
    parent = value_at(document, path[:-1])
    parent[name] = parent.pop(path[-1])
    return json.dumps(document).encode()


def _repeated(path: Path, value: str, version: int) -> bytes:
    document = complete_document(version)
    value_at(document, path[:-1])[REPEATED] = MARK
    return json.dumps(document).replace(REPEATED, str(path[-1])).replace(f'"{MARK}"', value).encode()


def _doubled(path: Path, version: int) -> bytes:
    document = complete_document(version)
    value_at(document, path[:-1]).append(value_at(document, path))
    return json.dumps(document).encode()


def _corrupted(corrupt: Callable[[str], bytes], version: int) -> bytes:
    return corrupt(json.dumps(complete_document(version)))
