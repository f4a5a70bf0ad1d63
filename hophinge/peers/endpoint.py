"""The datagram endpoint of a member: the machine's sends and timers carried out on the event loop, keys read.

A flood costs a bounded share of the loop: so many datagrams and so much time a turn; the kernel drops the rest.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from hophinge.cluster.actions import Action, Changed, Send, SteppedBack, Told
from hophinge.cluster.errors import ClusterUnusableError, KeysUnusableError, NameTakenError
from hophinge.cluster.interface import Hearer, Role
from hophinge.cluster.machine import Cluster
from hophinge.cluster.tuning import Limits, Tuning
from hophinge.cluster.wire import MAX_BYTES, read_keys

AT_ONCE = 32  # datagrams read in one turn of the loop
TURN_S = 0.002  # or so much time spent on them
PAUSE_S = 0.01  # after a full turn nothing is read for so long: a flood has at most a sixth of the loop
RECEIVE_BYTES = 512 * 1024  # in the kernel for datagrams that wait: some hundred of them
RESOLVE_S = 30.0  # between looks for seeds' addresses: they may have moved
RESOLVING_S = 5.0  # for one look


def keys_of(path: Path) -> list[bytes]:
    """Read the key file; raises KeysUnusableError."""
    try:
        return read_keys(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise KeysUnusableError(f"{path}: {getattr(error, 'strerror', None) or error}") from error
    except KeysUnusableError as error:
        raise KeysUnusableError(f"{path}: {error}") from error


def split(where: str, setting: str) -> tuple[str, int]:
    """Split host:port; raises ClusterUnusableError with the setting's name."""
    host, _, port = where.rpartition(":")
    if not host or not port.isdecimal() or not int(port) < 65536:
        raise ClusterUnusableError(f"{setting}: {where!r} is not host:port")
    return host, int(port)


class Endpoint:
    """One member on a UDP socket. Its machine is Sight and Board; hearers are told of changes as they come."""

    def __init__(
        self,
        name: str,
        listen: str,
        seeds: Sequence[str],
        key_file: Path,
        *,
        advertise: str = "",
        zone: str = "",
        role: Role = Role.HEAD,
        build: str = "",
        limits: Limits | None = None,
        tuning: Tuning | None = None,
        say: Callable[[str], None] = print,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.key_file, self.say, self.seeds = key_file, say, list(seeds)
        for seed in seeds:
            split(seed, "seeds")
        keys = keys_of(key_file)
        host, port = split(listen, "listen")
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            self.socket.bind((host, port))
        except OSError as error:
            self.socket.close()
            raise ClusterUnusableError(f"listen: cannot take {listen}: {error.strerror or error}") from error
        try:
            own_host, own_port = split(advertise, "advertise") if advertise else self.socket.getsockname()[:2]
            if own_host == "0.0.0.0":
                raise ClusterUnusableError("advertise: is needed where listen is 0.0.0.0: peers answer there")
            own_host = socket.gethostbyname(own_host)
            self.machine = Cluster(
                name,
                f"{own_host}:{own_port}",
                time.time_ns() // 100_000,
                [],
                keys,
                random.Random(os.urandom(16)),
                self.now_us(),
                zone=zone,
                role=role,
                build=build,
                limits=limits,
                tuning=tuning,
            )
        except OSError as error:
            self.socket.close()
            raise ClusterUnusableError(f"advertise: {own_host} has no address: {error}") from error
        except ClusterUnusableError:
            self.socket.close()
            raise
        self.hearers: list[Hearer] = []
        self.failed: NameTakenError | None = None  # why it has stepped back
        self.over = asyncio.Event()  # it has left, or stepped back
        self.timer: asyncio.TimerHandle | None = None
        self.unread: asyncio.TimerHandle | None = None
        self.resolving: asyncio.Task[None] | None = None

    @staticmethod
    def now_us() -> int:
        """Tell the time by a clock that nobody sets, and that goes on while this process is stopped."""
        return time.monotonic_ns() // 1000

    @property
    def address(self) -> str:
        """Tell where peers reach this member."""
        return self.machine.core.roster.own.address

    def start(self) -> None:
        """Begin; the first datagrams leave in the loop's next turns."""
        self.loop.add_reader(self.socket.fileno(), self._readable)
        self.resolving = self.loop.create_task(self._resolve())
        self.act([])

    def reload(self) -> None:
        """Read the key file again; raises KeysUnusableError, and then the keys are as they were."""
        self.machine.rekey(keys_of(self.key_file))

    def leave(self) -> None:
        """Tell others that this member leaves, and close."""
        if not self.over.is_set():
            self.act(self.machine.leave(self.now_us()))
            self.close()

    def close(self) -> None:
        """Close without a word, as a kill does."""
        if self.over.is_set():
            return
        self.over.set()
        self.loop.remove_reader(self.socket.fileno())
        for handle in (self.timer, self.unread, self.resolving):
            if handle is not None:
                handle.cancel()
        self.socket.close()

    def act(self, actions: Sequence[Action]) -> None:
        """Carry out what the machine asks for, and set the next timer."""
        now_us = self.now_us()
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Changed):
                self._tell("member", now_us, action.member)
            elif isinstance(action, Told):
                self._tell("entry", now_us, action.entry, action.gone)
            elif isinstance(action, SteppedBack):
                self.failed = NameTakenError(action.why)
                self.say(self.failed.told())
        if self.failed is not None:
            return self.close()
        if self.timer is not None:
            self.timer.cancel()
        next_us = self.machine.next_us
        if next_us is not None:
            self.timer = self.loop.call_later(max(0, next_us - self.now_us()) / 1e6, self._due)

    def _tell(self, of: str, *what: Any) -> None:
        for hearer in self.hearers:
            try:
                getattr(hearer, of)(*what)
            except Exception as error:  # one hearer's fault is neither the others' nor the membership's
                self.machine.core.count("hearers_failed")
                self.say(f"a hearer of the cluster failed: {type(error).__name__}: {error}")

    def _due(self) -> None:
        if not self.over.is_set():
            self.act(self.machine.handle(self.now_us()))

    def _send(self, action: Send) -> None:
        host, _, port = action.address.rpartition(":")
        try:
            self.socket.sendto(action.data, (host, int(port)))
        except (OSError, OverflowError):
            # A full buffer, no route, an address that is none: as good as lost on the way, which all allows for.
            self.machine.core.count("sends_failed")

    def _readable(self) -> None:
        until = self.loop.time() + TURN_S
        for _ in range(AT_ONCE):
            try:
                data, source = self.socket.recvfrom(MAX_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                self.machine.core.count("receives_failed")  # an answer by ICMP to an earlier datagram
                continue
            self.act(self.machine.handle(self.now_us(), f"{source[0]}:{source[1]}", data))
            if self.over.is_set():
                return
            if self.loop.time() >= until:
                break
        # More waits than one turn is for. The loop's other work comes first.
        self.loop.remove_reader(self.socket.fileno())
        self.unread = self.loop.call_later(PAUSE_S, self._read_on)

    def _read_on(self) -> None:
        if not self.over.is_set():
            self.loop.add_reader(self.socket.fileno(), self._readable)

    async def _resolve(self) -> None:
        """Keep seeds' addresses; a name that has none now is tried again."""
        while True:
            found: list[str] = []
            for seed in self.seeds:
                host, port = split(seed, "seeds")
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(RESOLVING_S):
                        rows = await self.loop.getaddrinfo(host, port, family=socket.AF_INET, type=socket.SOCK_DGRAM)
                    found += [f"{row[4][0]}:{port}" for row in rows[:1]]
            if found:
                self.act(self.machine.seek(self.now_us(), found))
            await asyncio.sleep(RESOLVE_S)
