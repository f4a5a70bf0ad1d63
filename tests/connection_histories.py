"""Random orders of what happens on a server's connection, and what its client may conclude from the responses.

The client heeds `Connection: close`: requests behind such a response count as unread, and it would try them again. It
also tries again what got a status that promises that nothing ran. So neither may have been started.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from random import Random

from hophinge.fleet.transport.asgi import CLOSE, ClientGoneError, Receive, Scope, Send, answer, read_body
from hophinge.fleet.transport.connection_state import CloseReason, ReadState
from hophinge.fleet.transport.server import HttpServer
from hophinge.fleet.transport.server_connection import ServerConnection
from tests.connection_wire import GARBAGE, Pipe, settle

PROMISES = (408, 421, 429, 503)  # the request has not run and never will
MAX_BODY = 1_000
MAX_REQUESTS = 7
STEPS = 30
RARE_SHARE = 0.08  # of the steps: what ends the connection
LATE_S = 100.0  # longer than any bound


class Kind(Enum):
    """What the application does with a request."""

    SERVED = "served"  # runs; its response starts when the client is told
    STREAMED = "streamed"  # runs; its response starts at once and ends when the client is told
    TOO_LARGE = "too-large"  # 431 and the wish to close, before the body is read
    NO_MEMORY = "no-memory"  # 503 and the wish to close, once the body is read
    FAILING = "failing"  # runs, and raises an exception before its response starts


class Ending(Enum):
    """What stands behind the requests that a client sends ahead."""

    NOTHING = b""
    GARBAGE = GARBAGE
    HALF_A_HEADER = b"POST /half HTTP/1.1\r\nhost: "
    HALF_A_BODY = b"POST /half HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf"


@dataclass(frozen=True, slots=True)
class Response:
    """A response as the client read it."""

    status: int
    closes: bool


class ConnectionHistory:
    """One random history of one connection."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.kinds = [self.random.choice(list(Kind)) for _ in range(self.random.randrange(1, MAX_REQUESTS))]
        self.closing_request = self.random.choice((None, self.random.randrange(len(self.kinds))))
        self.ending = self.random.choice(list(Ending))
        self.unsent = self._written()
        self.started: Counter[int] = Counter()  # requests that the application has run
        self.gates = [asyncio.Event() for _ in self.kinds]
        self.pipe = Pipe()
        self.server = HttpServer(self._serve)
        self.server.config.load()
        self.connection = ServerConnection(
            self.server.context, config=self.server.config, server_state=self.server.server_state, app_state={}
        )
        self.has_left = False  # the client
        self.has_stopped = False  # the process exits

    def _written(self) -> bytes:
        """Return the bytes of all requests, of which one may ask for the close."""
        data = b""
        for number, kind in enumerate(self.kinds):
            closes = b"connection: close\r\n" if number == self.closing_request else b""
            head = b"POST /%s/%d HTTP/1.1\r\nhost: a\r\n%s" % (kind.value.encode(), number, closes)
            if self.random.random() < 0.5:
                data += head + b"content-length: 4\r\n\r\nbody"
            else:
                data += head + b"transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        return data + self.ending.value

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        _, name, number = scope["path"].split("/")
        kind, index = Kind(name), int(number)
        if kind is Kind.TOO_LARGE:
            await answer(send, 431, b"", [CLOSE])
            return
        try:
            await read_body(receive, MAX_BODY)
        except ClientGoneError:
            return
        if kind is Kind.NO_MEMORY:
            await answer(send, 503, b"", [CLOSE])
            return
        self.started[index] += 1
        await self._respond(kind, index, send)

    async def _respond(self, kind: Kind, index: int, send: Send) -> None:
        if kind is Kind.STREAMED:
            await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"2")]})
            await self.gates[index].wait()
            await send({"type": "http.response.body", "body": b"ok"})
            return
        await self.gates[index].wait()
        if kind is Kind.FAILING:
            raise ValueError("the application fails on purpose")
        await answer(send, 200, b"ok")

    # --- steps ---------------------------------------------------------------------------------------------------

    def _send(self) -> None:
        size = self.random.choice((1, 5, 30, 90, 500))
        data, self.unsent = self.unsent[:size], self.unsent[size:]
        if data and not self.pipe.closed:
            self.connection.data_received(data)

    def _release(self) -> None:
        """Let one of the requests that have run go on."""
        waiting = [index for index in self.started if not self.gates[index].is_set()]
        if waiting:
            self.gates[self.random.choice(waiting)].set()

    def _shut_down(self) -> None:
        self.connection.shutdown()

    def _expire(self) -> None:
        if not self.pipe.closed:
            self.connection.state.waiting_since -= LATE_S
            self.connection._on_deadline()

    def _take_place(self) -> None:
        """Have the connection make room for another one, or release memory."""
        if self.connection.state.is_closed:
            return
        if self.connection.state.read_state is ReadState.NOTHING:
            self.connection._perform(self.connection.state.yield_to_others(CloseReason.AT_CAPACITY))
        else:
            self.connection._reject_incomplete(CloseReason.OUT_OF_MEMORY)

    def _leave(self) -> None:
        if not self.pipe.closed:
            self.has_left = True
            self.connection.eof_received()

    def _stop(self) -> None:
        self.has_stopped = True
        self.connection.stop()

    async def play(self) -> None:
        """Perform random steps, then send and release all that is left."""
        self.connection.connection_made(self.pipe)
        common = (self._send, self._send, self._release, self._release)
        rare = (self._shut_down, self._shut_down, self._expire, self._take_place, self._leave, self._stop)
        for _ in range(STEPS):
            self.random.choice(rare if self.random.random() < RARE_SHARE else common)()
            for _ in range(self.random.randrange(4)):
                await asyncio.sleep(0)
        while self.unsent and not self.pipe.closed:
            self._send()
            await settle()
        for _ in self.kinds:
            self._release()
            await settle()
        self.connection.connection_lost(None)
        for gate in self.gates:
            gate.set()
        await settle()

    # --- what the client concludes -------------------------------------------------------------------------------

    def responses(self) -> list[Response]:
        """Return the complete responses, in order."""
        responses: list[Response] = []
        rest = bytes(self.pipe.written)
        while rest:
            head, end, rest = rest.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 ") and end, f"not the beginning of a response: {head[:60]!r}"
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
            length = int(fields[b"content-length"])
            if len(rest) < length:
                return responses
            responses.append(Response(int(head.split()[1]), b"close" in fields.get(b"connection", b"")))
            rest = rest[length:]
        return responses

    def findings(self) -> list[str]:
        """Return what contradicts what the client concludes."""
        found = []
        responses = self.responses()
        closing = [index for index, response in enumerate(responses) if response.closes]
        if closing and closing[0] != len(responses) - 1:
            found.append(f"a response behind one that announces the close: {responses}")
        read = closing[0] + 1 if closing else len(self.kinds)
        for index in range(len(self.kinds)):
            found += self._contradictions(index, responses, is_read=index < read)
        return found

    def _contradictions(self, index: int, responses: list[Response], is_read: bool) -> list[str]:
        found = []
        has_run = self.started[index] > 0
        response = responses[index] if index < len(responses) else None
        if self.started[index] > 1:
            found.append(f"request {index} ran {self.started[index]} times")
        if has_run and not is_read:
            found.append(f"request {index} ran behind the close")
        if has_run and response is not None and response.status in PROMISES:
            found.append(f"request {index} ran and got {response.status}")
        if has_run and response is None and not (self.has_left or self.has_stopped):
            found.append(f"request {index} ran and got no response")
        return found
