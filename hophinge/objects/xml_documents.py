"""The XML bodies of the object API."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime
from xml.etree import ElementTree

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"

Node = tuple[str, "str | list[Node]"]


def _add(parent: ElementTree.Element, nodes: Iterable[Node]) -> None:
    for name, value in nodes:
        child = ElementTree.SubElement(parent, name)
        if isinstance(value, str):
            child.text = value
        else:
            _add(child, value)


def render(name: str, nodes: Iterable[Node], namespace: str = NAMESPACE) -> bytes:
    """Return a document as bytes."""
    root = ElementTree.Element(name, {"xmlns": namespace} if namespace else {})
    _add(root, nodes)
    text: bytes = ElementTree.tostring(root, encoding="utf-8", xml_declaration=True)
    return text


def format_time(unix: int) -> str:
    """Return a Unix time in the form of S3's documents."""
    return datetime.fromtimestamp(unix, UTC).strftime("%Y-%m-%dT%H:%M:%S.000Z")


def parse_part_list(body: bytes) -> list[tuple[int, str]]:
    """Return number and ETag of each part of a CompleteMultipartUpload; raises ValueError where it is malformed."""
    if b"<!" in body:
        raise ValueError("no document type or entities are taken")
    try:
        root = ElementTree.fromstring(body)
    except ElementTree.ParseError as error:
        raise ValueError("not well formed") from error
    if root.tag.rpartition("}")[2] != "CompleteMultipartUpload":
        raise ValueError("not a CompleteMultipartUpload")
    found = []
    for part in root:
        fields = {child.tag.rpartition("}")[2]: (child.text or "").strip() for child in part}
        number = fields.get("PartNumber", "")
        if part.tag.rpartition("}")[2] != "Part" or not (number.isascii() and number.isdigit()) or len(number) > 9:
            raise ValueError("a part without a number")
        found.append((int(number), fields.get("ETag", "").strip('"')))
    return found
