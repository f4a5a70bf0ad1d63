"""Handlers of the object API's requests, by S3's operations, and their answers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from email.utils import formatdate
from typing import Any
from urllib.parse import parse_qs, unquote

from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.net.listener import INBOUND, OUTBOUND, Listener, RateLimit
from hophinge.net.payload import MAX_SHORT_BODY
from hophinge.objects import xml_documents
from hophinge.objects.account_access import AccountAccess, AuthenticatedRequest, Volume
from hophinge.objects.config import ObjectConfig
from hophinge.objects.core_client import CoreFailedError, RejectedError, TimeBudget
from hophinge.objects.http_fields import document, failure, matches, md5_of, number_of, type_of, upload_id_of
from hophinge.objects.object_store import ObjectError, ObjectStore
from hophinge.objects.range_header import UnsatisfiableRangeError, parse_range
from hophinge.objects.stored_records import Manifest

MAX_NAME_BYTES = 1024  # bytes of an object's name
DEFAULT_LIST_PARTS = 100
REMAINING_MS_PATTERN = re.compile(r"[0-9]{1,9}", re.ASCII)
AUTHENTICATED = web.RequestKey("guest", AuthenticatedRequest)
TRUNCATING_ERRORS = (CoreFailedError, RejectedError)


def method_not_allowed() -> ObjectError:
    """Return the error for a method that a resource does not have."""
    return ObjectError(405, "MethodNotAllowed", "The method is not allowed here.")


class ObjectRequestHandlers(Listener):
    """One handler for each operation; errors are raised."""

    def __init__(self, store: ObjectStore, accounts: AccountAccess, config: ObjectConfig, counters: Counters) -> None:
        super().__init__(counters, config.connections, config.idle_s, config.idle_s)
        self.store = store
        self.accounts = accounts
        self.config = config
        # By tenant, the requests whose answer has not begun; they are cancelled where the tenant is evicted.
        self.unanswered: dict[str, set[asyncio.Task[Any]]] = {}
        self.rate_limit: RateLimit | None = None  # of bodies, both ways

    def _record_answer_start(self, request: web.BaseRequest) -> None:
        """Record that the answer of a request begins."""
        task = asyncio.current_task()
        tasks = self.unanswered.get(request[AUTHENTICATED].tenant)
        if tasks is not None and task is not None:
            tasks.discard(task)
            if not tasks:
                del self.unanswered[request[AUTHENTICATED].tenant]

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        raw_path, _, query_text = request.raw_path.partition("?")
        if raw_path == "/healthz" and request.method == "GET":
            return web.Response(status=503 if self.is_draining else 200)
        bucket, _, quoted = raw_path.removeprefix("/").partition("/")
        try:
            name = unquote(quoted, errors="strict")
            query = parse_qs(query_text, keep_blank_values=True, max_num_fields=16, errors="strict")
        except ValueError as error:
            raise ObjectError(400, "InvalidURI", "The path or query is not UTF-8.") from error
        guest = self._authenticate(request, unquote(bucket))
        if not name:
            raise ObjectError(501, "NotImplemented", "Buckets are made by the administration API and not listed.")
        if len(name.encode()) > MAX_NAME_BYTES:
            raise ObjectError(400, "KeyTooLongError", f"An object's name has at most {MAX_NAME_BYTES} bytes.")
        budget = self._time_budget(request)
        if "uploadId" in query or "uploads" in query:
            return await self._route_upload(request, guest, bucket, name, query, budget)
        return await self._route_object(request, guest.volume, name, budget)

    async def _route_object(
        self, request: web.BaseRequest, volume: Volume, name: str, budget: TimeBudget
    ) -> web.StreamResponse:
        match request.method:
            case "PUT":
                chunks = self._body_chunks(request, volume)
                manifest = await self.store.put(volume, name, type_of(request), chunks, md5_of(request), budget)
                return web.Response(headers={"ETag": f'"{manifest.etag}"'})
            case "GET" | "HEAD":
                return await self._get(request, volume, name, budget)
            case "DELETE":
                await self.store.delete(volume, name, budget)
                return web.Response(status=204)
        raise method_not_allowed()

    async def _route_upload(
        self,
        request: web.BaseRequest,
        guest: AuthenticatedRequest,
        bucket: str,
        name: str,
        query: dict[str, list[str]],
        budget: TimeBudget,
    ) -> web.StreamResponse:
        volume = guest.volume
        match request.method, "uploads" in query, "uploadId" in query:
            case "POST", True, False:
                return await self._initiate(request, guest, bucket, name, budget)
            case "POST", False, True:
                return await self._complete(request, volume, bucket, name, upload_id_of(query), budget)
            case "PUT", False, True:
                return await self._put_part(request, volume, name, query, budget)
            case "GET", False, True:
                return await self._list_parts(volume, bucket, name, query, budget)
            case "DELETE", False, True:
                await self.store.abort(volume, name, upload_id_of(query), budget)
                self.accounts.forget_upload(upload_id_of(query))
                return web.Response(status=204)
        raise method_not_allowed()

    def _authenticate(self, request: web.BaseRequest, bucket: str) -> AuthenticatedRequest:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        task = asyncio.current_task()
        assert task is not None
        guest = self.accounts.admit(token.strip() if scheme.lower() == "bearer" else "", bucket, task, request.protocol)
        request[AUTHENTICATED] = guest
        self.unanswered.setdefault(guest.tenant, set()).add(task)
        return guest

    def _time_budget(self, request: web.BaseRequest) -> TimeBudget:
        text = request.headers.get("X-Remaining-Ms")
        if text is not None and not REMAINING_MS_PATTERN.fullmatch(text):
            raise ObjectError(400, "InvalidArgument", "X-Remaining-Ms is malformed.")
        return TimeBudget(self.store.chunk_store.exchange.now_us(), None if text is None else int(text))

    async def _body_chunks(self, request: web.BaseRequest, volume: Volume | None = None) -> AsyncIterator[bytes]:
        """Split a body into chunks; raises ObjectError (408) where the client stops sending."""
        self.send_continue(request)
        size, buffer = self.config.piece_bytes, bytearray()
        while True:
            try:
                async with asyncio.timeout(self.config.idle_s):
                    data = await request.content.readany()
            except TimeoutError as error:
                raise ObjectError(408, "RequestTimeout", "The body stopped coming.") from error
            if not data:
                break
            buffer += data
            if AUTHENTICATED in request:
                self.accounts.count_bytes(request[AUTHENTICATED], INBOUND, len(data))
            if self.rate_limit is not None and volume is not None:
                await self.rate_limit(volume.id, self.config.write_class, INBOUND, len(data))
            while len(buffer) >= size:
                yield bytes(buffer[:size])
                del buffer[:size]
        if buffer:
            yield bytes(buffer)

    async def _body(self, request: web.BaseRequest) -> bytes:
        body = bytearray()
        async for chunk in self._body_chunks(request):
            body += chunk
            if len(body) > MAX_SHORT_BODY:
                raise ObjectError(413, "EntityTooLarge", "The list is too long.")
        return bytes(body)

    # --- answers

    async def _get(self, request: web.BaseRequest, volume: Volume, name: str, budget: TimeBudget) -> web.StreamResponse:
        manifest = await self.store.head(volume, name, budget)
        etag = f'"{manifest.etag}"'
        headers = {
            "ETag": etag,
            "Accept-Ranges": "bytes",
            "Content-Type": manifest.content_type,
            "Last-Modified": formatdate(manifest.modified, usegmt=True),
        }
        if matches(request.headers.get("If-None-Match"), etag):
            return web.Response(status=304, headers={"ETag": etag})
        if "If-Match" in request.headers and not matches(request.headers["If-Match"], etag):
            raise ObjectError(412, "PreconditionFailed", "The object has another ETag.")
        range_header = request.headers.get("Range")
        if request.headers.get("If-Range", etag) != etag:
            range_header = None
        try:
            byte_range = parse_range(range_header, manifest.size)
        except UnsatisfiableRangeError:
            error = failure(ObjectError(416, "InvalidRange", "No byte of the range is in the object."))
            error.headers["Content-Range"] = f"bytes */{manifest.size}"
            return error
        first, last = byte_range or (0, manifest.size - 1)
        response = web.StreamResponse(status=206 if byte_range else 200, headers=headers)
        response.content_length = last + 1 - first
        if byte_range:
            response.headers["Content-Range"] = f"bytes {first}-{last}/{manifest.size}"
        if self.is_draining:
            response.force_close()
        if request.method == "HEAD" or not manifest.size:
            await response.prepare(request)
            await response.write_eof()
            return response
        return await self._stream(request, response, volume, manifest, (first, last), budget)

    async def _stream(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        volume: Volume,
        manifest: Manifest,
        span: tuple[int, int],
        budget: TimeBudget,
    ) -> web.StreamResponse:
        chunks = self.store.read(volume, manifest, *span, budget)
        try:
            async for chunk in chunks:  # the first one is there before the status goes out
                if not response.prepared:
                    self._record_answer_start(request)
                    await response.prepare(request)
                if self.rate_limit is not None:
                    await self.rate_limit(volume.id, self.config.read_class, OUTBOUND, len(chunk))
                self.accounts.count_bytes(request[AUTHENTICATED], OUTBOUND, len(chunk))
                async with asyncio.timeout(self.config.idle_s):
                    await response.write(chunk)
            await response.write_eof()
        except (*TRUNCATING_ERRORS, TimeoutError):
            if not response.prepared:
                raise
            # The status is out: the client sees that it got less than Content-Length says.
            self.counters.add("object_truncated")
            if request.transport is not None:
                request.transport.abort()
        finally:
            await chunks.aclose()
        return response

    async def _initiate(
        self, request: web.BaseRequest, guest: AuthenticatedRequest, bucket: str, name: str, budget: TimeBudget
    ) -> web.Response:
        await self.accounts.reserve_upload(guest, name)
        upload = await self.store.initiate(guest.volume, name, type_of(request), budget)
        self.accounts.record_upload(guest, name, upload)
        return document("InitiateMultipartUploadResult", [("Bucket", bucket), ("Key", name), ("UploadId", upload)])

    async def _put_part(
        self, request: web.BaseRequest, volume: Volume, name: str, query: dict[str, list[str]], budget: TimeBudget
    ) -> web.Response:
        upload, number = upload_id_of(query), number_of(query, "partNumber", 0)
        part = await self.store.put_part(
            volume, name, upload, number, self._body_chunks(request, volume), md5_of(request), budget
        )
        return web.Response(headers={"ETag": f'"{part.etag}"'})

    async def _list_parts(
        self, volume: Volume, bucket: str, name: str, query: dict[str, list[str]], budget: TimeBudget
    ) -> web.Response:
        upload, after_number = upload_id_of(query), number_of(query, "part-number-marker", 0)
        max_parts = max(1, number_of(query, "max-parts", DEFAULT_LIST_PARTS))
        parts, next_number = await self.store.list_parts(volume, name, upload, after_number, max_parts, budget)
        rows: list[xml_documents.Node] = [
            ("Bucket", bucket),
            ("Key", name),
            ("UploadId", upload),
            ("PartNumberMarker", str(after_number)),
            ("MaxParts", str(max_parts)),
            ("IsTruncated", "false" if next_number is None else "true"),
        ]
        if next_number is not None:
            rows.append(("NextPartNumberMarker", str(next_number)))
        rows += [
            (
                "Part",
                [
                    ("PartNumber", str(number)),
                    ("LastModified", xml_documents.format_time(part.modified)),
                    ("ETag", f'"{part.etag}"'),
                    ("Size", str(part.size)),
                ],
            )
            for number, part in parts
        ]
        return document("ListPartsResult", rows)

    async def _complete(
        self, request: web.BaseRequest, volume: Volume, bucket: str, name: str, upload: str, budget: TimeBudget
    ) -> web.Response:
        try:
            requested_parts = xml_documents.parse_part_list(await self._body(request))
        except ValueError as error:
            raise ObjectError(400, "MalformedXML", f"The list of parts is malformed: {error}.") from error
        etag = await self.store.complete(volume, name, upload, requested_parts, budget)
        self.accounts.forget_upload(upload)
        return document(
            "CompleteMultipartUploadResult",
            [("Location", f"/{bucket}/{name}"), ("Bucket", bucket), ("Key", name), ("ETag", f'"{etag}"')],
        )
