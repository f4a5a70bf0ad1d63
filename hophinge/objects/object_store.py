"""Objects and multipart uploads on backends. It knows no HTTP; a client's mistake is an ObjectError."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import secrets
import time
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Protocol, TypeVar

import msgspec

from hophinge.core.exchange import Verdict
from hophinge.net.payload import MAX_SHORT_BODY
from hophinge.objects.account_access import Volume
from hophinge.objects.chunk_store import ChunkStore, cancel_tasks
from hophinge.objects.core_client import CoreFailedError, TimeBudget
from hophinge.objects.stored_records import (
    ChunkRun,
    Manifest,
    Part,
    Upload,
    manifest_id,
    part_id,
    shard_of,
    upload_id,
)

LIST_PAGE = 100  # part numbers looked up for one page of a list

Record = TypeVar("Record", Manifest, Part, Upload)


class ObjectError(Exception):
    """An error for the client: an HTTP status, an S3 code, a sentence, and where it helps a Retry-After in seconds."""

    def __init__(self, status: int, code: str, text: str, retry_s: float = 0.0) -> None:
        super().__init__(text)
        self.status = status
        self.code = code
        self.text = text
        self.retry_s = retry_s


def no_such_key() -> ObjectError:
    """Return the error for an object that does not exist."""
    return ObjectError(404, "NoSuchKey", "The object does not exist.")


def no_such_upload() -> ObjectError:
    """Return the error for an upload that is not open."""
    return ObjectError(404, "NoSuchUpload", "The upload does not exist, was aborted or is complete.")


def combined_etag(requested_parts: list[tuple[int, str]]) -> str:
    """Return the ETag of an object of these parts (number, ETag); raises ObjectError where the list is not valid."""
    if not requested_parts:
        raise ObjectError(400, "MalformedXML", "The list names no part.")
    numbers = [number for number, _ in requested_parts]
    if any(later <= earlier for earlier, later in itertools.pairwise(numbers)):
        raise ObjectError(400, "InvalidPartOrder", "The parts are not in ascending order.")
    digest = hashlib.md5(usedforsecurity=False)
    try:
        for _, etag in requested_parts:
            digest.update(bytes.fromhex(etag))
    except ValueError as error:
        raise ObjectError(400, "InvalidPart", "An ETag is not that of a part.") from error
    return f"{digest.hexdigest()}-{len(requested_parts)}"


class ObjectWatcher(Protocol):
    """An observer of reads, and of each manifest that was read or written."""

    def manifest_changed(self, volume: Volume, name: str, manifest: Manifest) -> None:
        """Record an object's manifest as it is now; one without an ETag is that of a deleted object."""

    def read_started(self, volume: Volume, manifest: Manifest, first: int, last: int) -> None:
        """Record a read that begins; `manifest_changed` was called with its manifest just before."""


class ObjectStore:
    """All operations. Nothing is kept here between two of them, so any head can continue any upload."""

    def __init__(self, chunk_store: ChunkStore, clock: Callable[[], float] = time.time) -> None:
        self.chunk_store = chunk_store
        self.clock = clock  # Unix time in seconds
        self.watcher: ObjectWatcher | None = None

    # --- records

    async def _get(self, kind: type[Record], volume: Volume, name: str, key: str, budget: TimeBudget) -> Record | None:
        shard = shard_of(volume.id, name, self.chunk_store.shards)
        answer = await self.chunk_store.call(volume, key, shard, None, 1, budget)
        if answer.verdict is Verdict.ABSENT:
            return None
        try:
            return msgspec.msgpack.decode(answer.body, type=kind)
        except msgspec.MsgspecError as error:
            raise CoreFailedError from error

    async def _put(
        self, record: Manifest | Part | Upload, volume: Volume, name: str, key: str, budget: TimeBudget
    ) -> None:
        body = msgspec.msgpack.encode(record)
        if len(body) > MAX_SHORT_BODY:
            raise ObjectError(400, "EntityTooLarge", "The object has more pieces than one manifest holds.")
        shard = shard_of(volume.id, name, self.chunk_store.shards)
        answer = await self.chunk_store.call(volume, key, shard, body, len(body), budget)
        if answer.verdict is not Verdict.SERVED:
            raise CoreFailedError
        if self.watcher is not None and isinstance(record, Manifest):
            self.watcher.manifest_changed(volume, name, record)

    # --- objects

    async def head(self, volume: Volume, name: str, budget: TimeBudget) -> Manifest:
        """Return an object's manifest; raises ObjectError (404) where it does not exist."""
        manifest = await self._get(Manifest, volume, name, manifest_id(name), budget)
        if self.watcher is not None:
            self.watcher.manifest_changed(volume, name, manifest or Manifest())
        if manifest is None or not manifest.etag:
            raise no_such_key()
        return manifest

    def read(
        self, volume: Volume, manifest: Manifest, first: int, last: int, budget: TimeBudget
    ) -> AsyncGenerator[bytes, None]:
        """Read a range of bytes, both ends included."""
        if self.watcher is not None:
            self.watcher.read_started(volume, manifest, first, last)
        return self.chunk_store.read_range(volume, manifest.runs, first, last, budget)

    async def put(
        self, volume: Volume, name: str, content_type: str, chunks: AsyncIterator[bytes], md5: str, budget: TimeBudget
    ) -> Manifest:
        """Write an object: its chunks, then the manifest that makes it the version read from then on."""
        run, etag, size = await self._write(volume, chunks, md5, budget)
        manifest = Manifest(etag, size, int(self.clock()), content_type, "", [run])
        await self._put(manifest, volume, name, manifest_id(name), budget)
        return manifest

    async def delete(self, volume: Volume, name: str, budget: TimeBudget) -> None:
        """Remove an object's name. Backends have no removal: its chunks stay there, unreachable."""
        await self._put(Manifest(modified=int(self.clock())), volume, name, manifest_id(name), budget)

    async def _write(
        self, volume: Volume, chunks: AsyncIterator[bytes], md5: str, budget: TimeBudget
    ) -> tuple[ChunkRun, str, int]:
        whole, size = hashlib.md5(usedforsecurity=False), 0

        async def counted() -> AsyncIterator[bytes]:
            nonlocal size
            async for chunk in chunks:
                whole.update(chunk)
                size += len(chunk)
                yield chunk

        run = await self.chunk_store.write_run(volume, counted(), budget)
        etag = whole.hexdigest()
        if md5 and md5 != etag:
            raise ObjectError(400, "BadDigest", "The Content-MD5 is not that of the body.")
        return run, etag, size

    # --- multipart uploads

    async def initiate(self, volume: Volume, name: str, content_type: str, budget: TimeBudget) -> str:
        """Open an upload and return its id."""
        upload = secrets.token_hex(16)
        await self._put(Upload("open", content_type), volume, name, upload_id(name, upload), budget)
        return upload

    async def _upload(self, volume: Volume, name: str, upload: str, budget: TimeBudget) -> Upload:
        state = await self._get(Upload, volume, name, upload_id(name, upload), budget)
        if state is None or state.state == "aborted":
            raise no_such_upload()
        return state

    async def _open(self, volume: Volume, name: str, upload: str, budget: TimeBudget) -> Upload:
        state = await self._upload(volume, name, upload, budget)
        if state.state != "open":
            raise no_such_upload()
        return state

    async def put_part(
        self,
        volume: Volume,
        name: str,
        upload: str,
        number: int,
        chunks: AsyncIterator[bytes],
        md5: str,
        budget: TimeBudget,
    ) -> Part:
        """Write a part; one that is written twice replaces the earlier one."""
        if not 1 <= number <= self.chunk_store.config.parts:
            raise ObjectError(400, "InvalidArgument", f"Part numbers go from 1 to {self.chunk_store.config.parts}.")
        await self._open(volume, name, upload, budget)
        run, etag, size = await self._write(volume, chunks, md5, budget)
        part = Part(etag, size, int(self.clock()), run)
        await self._put(part, volume, name, part_id(name, upload, number), budget)
        return part

    async def _parts(
        self, volume: Volume, name: str, upload: str, numbers: list[int], budget: TimeBudget
    ) -> list[Part | None]:
        window = asyncio.Semaphore(self.chunk_store.config.window)

        async def get(number: int) -> Part | None:
            async with window:
                return await self._get(Part, volume, name, part_id(name, upload, number), budget)

        tasks = [asyncio.create_task(get(number)) for number in numbers]
        try:
            return await asyncio.gather(*tasks)
        finally:
            await cancel_tasks(tasks)

    async def list_parts(
        self, volume: Volume, name: str, upload: str, after_number: int, max_parts: int, budget: TimeBudget
    ) -> tuple[list[tuple[int, Part]], int | None]:
        """Return parts after a number, and the number to continue after; None: there are no more.

        A part's record is found by its number alone, so a page covers a range of numbers and may have fewer parts
        than requested, or none.
        """
        await self._open(volume, name, upload, budget)
        numbers = list(
            range(after_number + 1, min(after_number + min(max_parts, LIST_PAGE), self.chunk_store.config.parts) + 1)
        )
        records = await self._parts(volume, name, upload, numbers, budget)
        next_number = numbers[-1] if numbers and numbers[-1] < self.chunk_store.config.parts else None
        return [(number, part) for number, part in zip(numbers, records, strict=True) if part is not None], next_number

    async def complete(
        self, volume: Volume, name: str, upload: str, requested_parts: list[tuple[int, str]], budget: TimeBudget
    ) -> str:
        """Make the object of its parts, and return its ETag.

        The manifest is written first and alone decides what is read; a repeat after a crash between it and the
        upload's state finds the manifest and only closes the upload.
        """
        state = await self._upload(volume, name, upload, budget)
        object_etag = combined_etag(requested_parts)
        if state.state == "completed":
            if state.etag != object_etag:
                raise no_such_upload()
            return object_etag
        current = await self._get(Manifest, volume, name, manifest_id(name), budget)
        if current is None or current.upload != upload:
            numbers = [number for number, _ in requested_parts]
            parts = await self._parts(volume, name, upload, numbers, budget)
            runs, size = [], 0
            for (number, etag), part in zip(requested_parts, parts, strict=True):
                if part is None or part.etag != etag:
                    raise ObjectError(400, "InvalidPart", f"Part {number} is missing or has another ETag.")
                runs.append(part.run)
                size += part.size
            manifest = Manifest(object_etag, size, int(self.clock()), state.content_type, upload, runs)
            await self._put(manifest, volume, name, manifest_id(name), budget)
        elif current.etag != object_etag:
            raise ObjectError(400, "InvalidPart", "The upload is complete with other parts.")
        completed = Upload("completed", state.content_type, object_etag)
        await self._put(completed, volume, name, upload_id(name, upload), budget)
        return object_etag

    async def is_closed(self, volume: Volume, name: str, upload: str, budget: TimeBudget) -> bool:
        """Return whether an upload is not open."""
        state = await self._get(Upload, volume, name, upload_id(name, upload), budget)
        return state is None or state.state != "open"

    async def abort(self, volume: Volume, name: str, upload: str, budget: TimeBudget) -> None:
        """Abort an upload."""
        await self._open(volume, name, upload, budget)
        await self._put(Upload("aborted", ""), volume, name, upload_id(name, upload), budget)
