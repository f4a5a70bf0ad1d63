"""Query parameters and headers of the object API's requests, and answers that are one document."""

from __future__ import annotations

import base64
import binascii
import re

from aiohttp import web

from hophinge.objects import xml_documents
from hophinge.objects.object_store import ObjectError

UPLOAD_ID_PATTERN = re.compile(r"[0-9a-f]{32}", re.ASCII)


def upload_id_of(query: dict[str, list[str]]) -> str:
    """Return the upload that a query names; raises ObjectError (404) where it is malformed."""
    upload = query["uploadId"][0]
    if not UPLOAD_ID_PATTERN.fullmatch(upload):
        raise ObjectError(404, "NoSuchUpload", "The upload does not exist.")
    return upload


def number_of(query: dict[str, list[str]], name: str, default: int) -> int:
    """Return a number of the query; raises ObjectError (400) where it is malformed."""
    text = query.get(name, [str(default)])[0]
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise ObjectError(400, "InvalidArgument", f"{name} is not a number.")
    return int(text)


def type_of(request: web.BaseRequest) -> str:
    """Return the Content-Type of a body."""
    return request.headers.get("Content-Type", "application/octet-stream")[:256]


def md5_of(request: web.BaseRequest) -> str:
    """Return the Content-MD5 of a body in hex, or an empty text; raises ObjectError (400) where it is malformed."""
    text = request.headers.get("Content-MD5")
    if text is None:
        return ""
    try:
        value = base64.b64decode(text, validate=True)
    except binascii.Error:
        value = b""
    if len(value) != 16:
        raise ObjectError(400, "InvalidDigest", "Content-MD5 is malformed.")
    return value.hex()


def matches(header: str | None, etag: str) -> bool:
    """Return whether an If-Match or If-None-Match header names an ETag (RFC 9110, section 13.1)."""
    return header is not None and (header.strip() == "*" or etag in (one.strip() for one in header.split(",")))


def document(name: str, nodes: list[xml_documents.Node]) -> web.Response:
    """Return an answer of one XML document."""
    return web.Response(body=xml_documents.render(name, nodes), content_type="application/xml")


def failure(error: ObjectError, retry_s: float = 0) -> web.Response:
    """Return the answer of an error, with Retry-After where a time in seconds is given."""
    body = xml_documents.render("Error", [("Code", error.code), ("Message", error.text)], namespace="")
    response = web.Response(status=error.status, body=body, content_type="application/xml")
    if retry_s:
        response.headers["Retry-After"] = f"{retry_s:.3f}".rstrip("0").rstrip(".")
    return response
