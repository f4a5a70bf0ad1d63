"""The OpenAPI description of the administration API, made of its table of calls and the shapes of their bodies."""

from __future__ import annotations

import re
from functools import cache
from typing import Any

import msgspec

from hophinge.admin.api import LONGEST_PAGE, OPERATIONS, PAGE, TITLES, Operation
from hophinge.admin.shapes import Problem

REF = "#/components/schemas/{name}"


def _statuses(operation: Operation) -> list[int]:
    found = {400, 401, 403, 404, 429, 500}
    if operation.body is not None:
        found |= {413}
    if operation.method != "GET":
        found |= {409, 503, 507}
    if operation.guarded or operation.name == "put_volume":
        found |= {412, 428}
    if operation.repeatable:
        found |= {422}
    return sorted(found)


def _parameters(operation: Operation) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
        for name in re.findall(r"\{(\w+)\}", operation.path)
    ]
    if operation.paged:
        rows += [
            {
                "name": "limit",
                "in": "query",
                "schema": {"type": "integer", "minimum": 1, "maximum": LONGEST_PAGE, "default": PAGE},
            },
            {"name": "after", "in": "query", "schema": {"type": "string"}},
        ]
    if operation.guarded or operation.name == "put_volume":
        rows.append(
            {
                "name": "If-Match",
                "in": "header",
                "required": operation.guarded,
                "schema": {"type": "string"},
                "description": "the ETag of the version that is to be changed, or *",
            }
        )
    if operation.repeatable:
        rows.append(
            {
                "name": "Idempotency-Key",
                "in": "header",
                "schema": {"type": "string", "minLength": 1, "maxLength": 128},
                "description": "a call that comes again with it within a day changes nothing and gets the same answer",
            }
        )
    return rows


@cache
def description() -> dict[str, Any]:
    """Tell the whole description."""
    types = [one for operation in OPERATIONS for one in (operation.body, operation.answer) if one is not None]
    _, schemas = msgspec.json.schema_components([*dict.fromkeys(types), Problem], ref_template=REF)
    paths: dict[str, dict[str, Any]] = {}
    problem = {"application/problem+json": {"schema": {"$ref": REF.format(name="Problem")}}}
    for operation in OPERATIONS:
        good: dict[str, Any] = {"description": "done"}
        if operation.answer is not None:
            good["content"] = {"application/json": {"schema": {"$ref": REF.format(name=operation.answer.__name__)}}}
        elif operation.name == "describe":
            good["content"] = {"application/json": {"schema": {"type": "object"}}}
        made: dict[str, Any] = {
            "operationId": operation.name,
            "parameters": _parameters(operation),
            "description": f"for {', '.join(sorted(operation.roles))}",
            "responses": {
                str(operation.status): good,
                **{str(status): {"description": TITLES[status], "content": problem} for status in _statuses(operation)},
            },
        }
        if operation.body is not None:
            made["requestBody"] = {
                "content": {"application/json": {"schema": {"$ref": REF.format(name=operation.body.__name__)}}}
            }
        paths.setdefault(operation.path, {})[operation.method.lower()] = made
    return {
        "openapi": "3.1.0",
        "info": {"title": "hophinge administration", "version": "1"},
        "servers": [{"url": "/"}],
        "security": [{"bearer": []}],
        "paths": paths,
        "components": {"schemas": schemas, "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}}},
    }


@cache
def text() -> bytes:
    """Write it as JSON."""
    return msgspec.json.encode(description())
