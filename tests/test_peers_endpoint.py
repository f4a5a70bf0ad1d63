from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hophinge.head import operator_config
from hophinge.cluster.datagram import DatagramOpener, seal_datagram
from hophinge.cluster.errors import ClusterUnusableError, KeysUnusableError
from hophinge.cluster.interface import Entry, Member, Topic
from hophinge.cluster.messages import Ack, MemberRecord, Message, Ping, encode_message
from hophinge.head.sections import ClusterConfig
from hophinge.peers import endpoint
from hophinge.peers.endpoint import MemberEndpoint
from tests.cluster_member import KEY

Make = Callable[..., MemberEndpoint]


class RecordingSubscriber:
    def __init__(self) -> None:
        self.members: list[str] = []
        self.entries: list[tuple[str, bool]] = []

    def member_changed(self, now_us: int, member: Member) -> None:
        self.members.append(f"{member.name} {member.state.value}")

    def entry_changed(self, now_us: int, entry: Entry, is_deleted: bool) -> None:
        self.entries.append((entry.key, is_deleted))


class FailingSubscriber(RecordingSubscriber):
    def member_changed(self, now_us: int, member: Member) -> None:
        raise RuntimeError("broken")


@pytest.fixture
def key_file(tmp_path: Path) -> Path:
    path = tmp_path / "key"
    path.write_text(KEY)
    return path


async def until(state: Callable[[], bool]) -> None:
    async with asyncio.timeout(30):
        while not state():
            await asyncio.sleep(0.01)


def test_two_endpoints_join_by_the_name_of_a_seed_and_a_failing_subscriber_is_isolated(key_file: Path) -> None:
    async def main() -> None:
        log_lines: list[str] = []
        first = MemberEndpoint("one", "127.0.0.1:0", [], key_file, log=log_lines.append)
        other = MemberEndpoint(
            "other",
            "127.0.0.1:0",
            [first.address.replace("127.0.0.1", "localhost"), "no.such.host.:1"],
            key_file,
            zone="z2",
        )
        subscriber = RecordingSubscriber()
        first.subscribers += [FailingSubscriber(), subscriber]
        for member in (first, other):
            member.start()
        await until(lambda: "other alive" in subscriber.members)
        assert any("RuntimeError: broken" in line for line in log_lines)
        other.machine.put(Topic.WEIGHTS, "k", b"v")
        await until(lambda: ("k", False) in subscriber.entries)
        assert [listed.zone for listed in first.machine.members()] == ["", "z2"]
        other.leave()
        await until(lambda: "other left" in subscriber.members)
        other.leave()
        first.close()

    asyncio.run(main())


def test_a_flood_of_unauthenticated_datagrams_takes_a_bounded_share_of_the_loop(
    key_file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Counts turns of the loop, not time: after each full turn the socket is not read until the backoff is over."""

    async def main() -> None:
        member = MemberEndpoint("one", "127.0.0.1:0", [], key_file)
        member.start()
        flood = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        host, port = member.address.split(":")
        monkeypatch.setattr(endpoint, "READ_BACKOFF_S", 60.0)
        for number in range(64):
            flood.sendto(bytes([number]) * (1 + number * 24), (host, int(port)))
        counters = member.machine.core.counters

        def dropped() -> int:
            return sum(count for name, count in counters.items() if name.startswith("dropped_"))

        await until(lambda: dropped() > 0)
        assert dropped() <= endpoint.DATAGRAMS_PER_TURN
        for _ in range(20):  # turns of the loop in which nothing is read
            await asyncio.sleep(0)
        assert dropped() <= endpoint.DATAGRAMS_PER_TURN
        monkeypatch.setattr(endpoint, "READ_BACKOFF_S", 0.0)
        member._resume_reading()
        await until(lambda: dropped() == 64)
        assert counters["dropped_too_long"] and counters["dropped_unknown"] and counters["dropped_too_short"]
        assert len(member.machine.members()) == 1 and not counters["bytes_received"]
        # An authentic ping is acknowledged during the flood.
        record = MemberRecord("peer", f"127.0.0.1:{flood.getsockname()[1]}", 1 << 40)
        flood.sendto(
            seal_datagram(KEY.encode(), "peer", 1 << 22, 1, [encode_message(Ping(7, "one", record))]), (host, int(port))
        )
        flood.setblocking(False)
        opener = DatagramOpener([KEY.encode()], 5, lambda name: None)
        received: list[Message] = []

        def acknowledged() -> bool:
            flood.sendto(b"x" * 500, (host, int(port)))
            while True:
                try:
                    opened = opener.open(flood.recv(2000))
                except BlockingIOError:
                    return any(isinstance(part, Ack) and part.request_id == 7 for part in received)
                received.extend(opened.messages if opened else [])

        await until(acknowledged)
        flood.close()
        member.close()

    asyncio.run(main())


WRONG: list[tuple[dict[str, Any], type[Exception], str]] = [
    ({"listen": "127.0.0.1"}, ClusterUnusableError, "listen"),
    ({"listen": "127.0.0.1:x"}, ClusterUnusableError, "listen"),
    ({"listen": "192.0.2.1:0"}, ClusterUnusableError, "cannot bind 192.0.2.1:0"),
    ({"listen": "0.0.0.0:0"}, ClusterUnusableError, "advertise"),
    ({"seeds": ["nowhere"]}, ClusterUnusableError, "seeds"),
    ({"advertise": "no.such.host.:1"}, ClusterUnusableError, "advertise"),
    ({"name": ""}, ClusterUnusableError, "name"),
    ({"name": "n" * 65}, ClusterUnusableError, "name"),
    ({"key_file": Path("/nowhere")}, KeysUnusableError, "/nowhere"),
]


@pytest.mark.parametrize(("given", "error", "expected"), WRONG, ids=lambda one: str(one)[:40])
def test_an_invalid_setting_is_named_in_the_error(
    key_file: Path, given: dict[str, Any], error: type[Exception], expected: str
) -> None:
    async def main() -> None:
        settings: dict[str, Any] = {"name": "one", "listen": "127.0.0.1:0", "seeds": [], "key_file": key_file} | given
        with pytest.raises(error, match=expected):
            MemberEndpoint(**settings)

    asyncio.run(main())


def test_an_invalid_key_file_does_not_replace_the_keys(key_file: Path) -> None:
    async def main() -> None:
        member = MemberEndpoint("one", "127.0.0.1:0", [], key_file)
        keys_before = list(member.machine.opener.keys)
        for text in (b"short", b"\xff\xfe" * 20, b""):
            key_file.write_bytes(text)
            with pytest.raises(KeysUnusableError, match=str(key_file)):
                member.reload()
            assert member.machine.opener.keys == member.machine.core.keys == keys_before
        key_file.write_text(f"{KEY} new\n\n{KEY}\n")
        member.reload()
        assert member.machine.core.keys == [f"{KEY} new".encode(), KEY.encode()]
        member.close()

    asyncio.run(main())


def test_the_example_of_an_operators_file_is_read_and_has_the_defaults() -> None:
    path = Path(__file__).parent.parent / "deploy" / "cluster.toml"
    config = operator_config.load(str(path)).cluster
    assert config is not None
    assert config == ClusterConfig(config.listen, config.seeds, path.parent / "../cluster.key")
