"""The UDP endpoint of a member: performs the actions of its state machine on the event loop, and loads its keys.

A flood of datagrams takes a bounded share of the loop: both number and time are limited per turn, and the kernel drops
the rest.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from hophinge.cluster.actions import Action, EntryChanged, MemberChanged, SendDatagram, SteppedDown
from hophinge.cluster.datagram import MAX_DATAGRAM_BYTES, read_keys
from hophinge.cluster.errors import ClusterUnusableError, KeysUnusableError, NameTakenError
from hophinge.cluster.interface import Role, Subscriber
from hophinge.cluster.state_machine import MemberStateMachine
from hophinge.cluster.tuning import Limits, Tuning

DATAGRAMS_PER_TURN = 32  # maximum read in one turn of the loop
READ_TURN_S = 0.002  # maximum spent on reading in one turn
READ_BACKOFF_S = 0.01  # pause after a full turn: a flood takes at most a sixth of the loop's time
RECEIVE_BUFFER_BYTES = 512 * 1024  # of the socket: room for several hundred datagrams
RESOLVE_INTERVAL_S = 30.0  # between resolutions of the seeds' names, whose addresses may change
RESOLVE_TIMEOUT_S = 5.0  # of one resolution


def load_keys(path: Path) -> list[bytes]:
    """Load the key file.

    Raises:
        KeysUnusableError: The file cannot be read or holds no valid keys.

    """
    try:
        return read_keys(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise KeysUnusableError(f"{path}: {getattr(error, 'strerror', None) or error}") from error
    except KeysUnusableError as error:
        raise KeysUnusableError(f"{path}: {error}") from error


def split_address(address: str, setting: str) -> tuple[str, int]:
    """Split host:port.

    Raises:
        ClusterUnusableError: The address is invalid; the error names the setting.

    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not int(port) < 65536:
        raise ClusterUnusableError(f"{setting}: {address!r} is not host:port")
    return host, int(port)


def _bind(listen: str) -> socket.socket:
    """Return a socket bound to a local address; raises ClusterUnusableError."""
    host, port = split_address(listen, "listen")
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise ClusterUnusableError(f"listen: cannot bind {listen}: {error.strerror or error}") from error
    return bound


@contextlib.contextmanager
def _closed_on_error(bound: socket.socket) -> Iterator[None]:
    """Close a socket if the block fails."""
    try:
        yield
    except BaseException:
        bound.close()
        raise


def _advertised_address(advertise: str, bound: socket.socket) -> str:
    """Return where other members reach this one, with the host resolved; raises ClusterUnusableError."""
    host, port = split_address(advertise, "advertise") if advertise else bound.getsockname()[:2]
    if host == "0.0.0.0":
        raise ClusterUnusableError("advertise: required if listen is 0.0.0.0, as peers need an address to send to")
    try:
        return f"{socket.gethostbyname(host)}:{port}"
    except OSError as error:
        raise ClusterUnusableError(f"advertise: cannot resolve {host}: {error}") from error


class MemberEndpoint:
    """One member on a UDP socket; subscribers are notified of changes as they arrive.

    Args:
        name: The name of the member, unique in the cluster.
        listen: The local address, as host:port.
        seeds: Addresses of members to contact first; names are resolved repeatedly.
        key_file: The file with the keys of datagrams.
        advertise: Where other members reach this one, as host:port; empty: the local address.
        zone: The zone of this process.
        role: The kind of this process.
        build: The build of this process.
        limits: Limits of memory and bandwidth.
        tuning: Parameters of the protocol.
        log: Called with each line to log.

    Raises:
        KeysUnusableError: The key file cannot be read or holds no valid keys.
        ClusterUnusableError: A setting is invalid or cannot be applied; the error names it.

    """

    conflict: NameTakenError | None = None  # set when this member has stepped down
    timer: asyncio.TimerHandle | None = None
    read_timer: asyncio.TimerHandle | None = None
    resolver: asyncio.Task[None] | None = None

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
        log: Callable[[str], None] = print,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.key_file = key_file
        self.log = log
        self.seeds = list(seeds)
        for seed in seeds:
            split_address(seed, "seeds")
        keys = load_keys(key_file)
        self.socket = _bind(listen)
        with _closed_on_error(self.socket):
            self.machine = MemberStateMachine(
                name,
                _advertised_address(advertise, self.socket),
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
        self.subscribers: list[Subscriber] = []
        self.closed = asyncio.Event()

    @staticmethod
    def now_us() -> int:
        """Return the time of a monotonic clock, which continues while this process is stopped."""
        return time.monotonic_ns() // 1000

    @property
    def address(self) -> str:
        """Where other members reach this one, as host:port."""
        return self.machine.core.members.own_record.address

    def start(self) -> None:
        """Start reading, timers and the resolution of seeds; the first datagrams are sent in the next turns."""
        self.loop.add_reader(self.socket.fileno(), self._readable)
        self.resolver = self.loop.create_task(self._resolve())
        self.perform([])

    def reload(self) -> None:
        """Load the key file again; raises KeysUnusableError, and then the keys are unchanged."""
        self.machine.replace_keys(load_keys(self.key_file))

    def leave(self) -> None:
        """Notify the other members that this one leaves, and close."""
        if not self.closed.is_set():
            self.perform(self.machine.leave(self.now_us()))
            self.close()

    def close(self) -> None:
        """Close without notifying the other members, as if the process was killed."""
        if self.closed.is_set():
            return
        self.closed.set()
        self.loop.remove_reader(self.socket.fileno())
        for handle in (self.timer, self.read_timer, self.resolver):
            if handle is not None:
                handle.cancel()
        self.socket.close()

    def perform(self, actions: Sequence[Action]) -> None:
        """Perform actions of the state machine, and set the next timer."""
        now_us = self.now_us()
        for action in actions:
            if isinstance(action, SendDatagram):
                self._send(action)
            elif isinstance(action, (MemberChanged, EntryChanged)):
                self._notify(action, now_us)
            elif isinstance(action, SteppedDown):
                self.conflict = NameTakenError(action.reason)
                self.log(self.conflict.one_line())
        if self.conflict is not None:
            return self.close()
        if self.timer is not None:
            self.timer.cancel()
        next_us = self.machine.next_us
        if next_us is not None:
            self.timer = self.loop.call_later(max(0, next_us - self.now_us()) / 1e6, self._timer_expired)

    def _notify(self, action: MemberChanged | EntryChanged, now_us: int) -> None:
        """Pass a change on to each subscriber."""
        for subscriber in self.subscribers:
            try:
                if isinstance(action, MemberChanged):
                    subscriber.member_changed(now_us, action.member)
                else:
                    subscriber.entry_changed(now_us, action.entry, action.is_deleted)
            except Exception as error:  # a subscriber's error must stop neither the others nor the protocol
                self.machine.core.count("hearers_failed")
                self.log(f"a subscriber of the cluster failed: {type(error).__name__}: {error}")

    def _timer_expired(self) -> None:
        if not self.closed.is_set():
            self.perform(self.machine.handle(self.now_us()))

    def _send(self, action: SendDatagram) -> None:
        host, _, port = action.address.rpartition(":")
        try:
            self.socket.sendto(action.data, (host, int(port)))
        except (OSError, OverflowError):
            # A full buffer, no route or an invalid address: the same as a lost datagram, which the protocol tolerates.
            self.machine.core.count("sends_failed")

    def _readable(self) -> None:
        until = self.loop.time() + READ_TURN_S
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                self.machine.core.count("receives_failed")  # an ICMP error for an earlier datagram
                continue
            self.perform(self.machine.handle(self.now_us(), f"{source[0]}:{source[1]}", data))
            if self.closed.is_set():
                return
            if self.loop.time() >= until:
                break
        # More datagrams may be waiting, but the loop's other work comes first.
        self.loop.remove_reader(self.socket.fileno())
        self.read_timer = self.loop.call_later(READ_BACKOFF_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.closed.is_set():
            self.loop.add_reader(self.socket.fileno(), self._readable)

    async def _resolve(self) -> None:
        """Resolve the seeds at intervals; a failed resolution is retried in the next interval."""
        while True:
            addresses: list[str] = []
            for seed in self.seeds:
                host, port = split_address(seed, "seeds")
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(RESOLVE_TIMEOUT_S):
                        results = await self.loop.getaddrinfo(host, port, family=socket.AF_INET, type=socket.SOCK_DGRAM)
                    addresses += [f"{result[4][0]}:{port}" for result in results[:1]]
            if addresses:
                self.perform(self.machine.update_seeds(self.now_us(), addresses))
            await asyncio.sleep(RESOLVE_INTERVAL_S)
