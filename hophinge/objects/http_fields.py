"""What a request of the object API says in its query and headers, and answers that are one document."""

from __future__ import annotations

import base64
import binascii
import re

from aiohttp import web

from hophinge.objects import xml_documents
from hophinge.objects.object_store import ObjectError

UPLOAD = re.compile(r"[0-9a-f]{32}", re.ASCII)


def upload_of(query: dict[str, list[str]]) -> str:
    """Read which upload is meant."""
    upload = query["uploadId"][0]
    if not UPLOAD.fullmatch(upload):
        raise ObjectError(404, "NoSuchUpload", "The upload does not exist.")
    return upload


def number_of(query: dict[str, list[str]], name: str, default: int) -> int:
    """Read a figure of the query."""
    text = query.get(name, [str(default)])[0]
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise ObjectError(400, "InvalidArgument", f"{name} is not a number.")
    return int(text)


def type_of(request: web.BaseRequest) -> str:
    """Read what type a body is said to have."""
    return request.headers.get("Content-Type", "application/octet-stream")[:256]


def md5_of(request: web.BaseRequest) -> str:
    """Read what digest a body is said to have; nothing where none is."""
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
    """Tell whether a header of conditions names an ETag."""
    return header is not None and (header.strip() == "*" or etag in (one.strip() for one in header.split(",")))


def document(name: str, nodes: list[xml_documents.Node]) -> web.Response:
    """Make an answer of one document."""
    return web.Response(body=xml_documents.render(name, nodes), content_type="application/xml")


def failure(error: ObjectError, retry_s: float = 0) -> web.Response:
    """Make the answer that tells an error."""
    body = xml_documents.render("Error", [("Code", error.code), ("Message", error.text)], namespace="")
    response = web.Response(status=error.status, body=body, content_type="application/xml")
    if retry_s:
        response.headers["Retry-After"] = f"{retry_s:.3f}".rstrip("0").rstrip(".")
    return response
