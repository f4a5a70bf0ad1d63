"""The OpenAPI description of the administration API, made of its table of calls and the shapes of their bodies."""

from __future__ import annotations

import re
from functools import cache
from typing import Any

import msgspec

from hophinge.admin.api import MAX_PAGE, OPERATIONS, DEFAULT_PAGE, PROBLEM_TITLES, Operation
from hophinge.admin.schemas import Problem

SCHEMA_REF = "#/components/schemas/{name}"


def _statuses(operation: Operation) -> list[int]:
    found = {400, 401, 403, 404, 429, 500}
    if operation.body is not None:
        found |= {413}
    if operation.method != "GET":
        found |= {409, 503, 507}
    if operation.requires_if_match or operation.name == "put_volume":
        found |= {412, 428}
    if operation.accepts_idempotency_key:
        found |= {422}
    return sorted(found)


def _parameters(operation: Operation) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
        for name in re.findall(r"\{(\w+)\}", operation.path)
    ]
    if operation.is_paged:
        rows += [
            {
                "name": "limit",
                "in": "query",
                "schema": {"type": "integer", "minimum": 1, "maximum": MAX_PAGE, "default": DEFAULT_PAGE},
            },
            {"name": "after", "in": "query", "schema": {"type": "string"}},
        ]
    if operation.requires_if_match or operation.name == "put_volume":
        rows.append(
            {
                "name": "If-Match",
                "in": "header",
                "required": operation.requires_if_match,
                "schema": {"type": "string"},
                "description": "the ETag of the version that is to be changed, or *",
            }
        )
    if operation.accepts_idempotency_key:
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
    """Return the OpenAPI description as JSON values."""
    types = [one for operation in OPERATIONS for one in (operation.body, operation.answer) if one is not None]
    _, schemas = msgspec.json.schema_components([*dict.fromkeys(types), Problem], ref_template=SCHEMA_REF)
    paths: dict[str, dict[str, Any]] = {}
    problem = {"application/problem+json": {"schema": {"$ref": SCHEMA_REF.format(name="Problem")}}}
    for operation in OPERATIONS:
        success: dict[str, Any] = {"description": "done"}
        if operation.answer is not None:
            success["content"] = {
                "application/json": {"schema": {"$ref": SCHEMA_REF.format(name=operation.answer.__name__)}}
            }
        elif operation.name == "describe":
            success["content"] = {"application/json": {"schema": {"type": "object"}}}
        described: dict[str, Any] = {
            "operationId": operation.name,
            "parameters": _parameters(operation),
            "description": f"for {', '.join(sorted(operation.roles))}",
            "responses": {
                str(operation.status): success,
                **{
                    str(status): {"description": PROBLEM_TITLES[status], "content": problem}
                    for status in _statuses(operation)
                },
            },
        }
        if operation.body is not None:
            described["requestBody"] = {
                "content": {"application/json": {"schema": {"$ref": SCHEMA_REF.format(name=operation.body.__name__)}}}
            }
        paths.setdefault(operation.path, {})[operation.method.lower()] = described
    return {
        "openapi": "3.1.0",
        "info": {"title": "hophinge administration", "version": "1"},
        "servers": [{"url": "/"}],
        "security": [{"bearer": []}],
        "paths": paths,
        "components": {"schemas": schemas, "securitySchemes": {"bearer": {"type": "http", "scheme": "bearer"}}},
    }


@cache
def encoded_description() -> bytes:
    """Return the OpenAPI description as JSON."""
    return msgspec.json.encode(description())
