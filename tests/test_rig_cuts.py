"""The rig's cuts: what is sent into one is lost, a connection that lost something is reset, others go on."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from hophinge.load.rig.socket_partition import SocketPartition

HOST, OTHER = "127.0.0.1", "127.0.0.2"


@pytest.fixture
def word(tmp_path: Path) -> Path:
    return tmp_path / "cuts"


@pytest.fixture
def cuts(word: Path) -> SocketPartition:
    return SocketPartition(word)


@pytest.fixture
def server() -> Iterator[socket.socket]:
    with socket.create_server((HOST, 0)) as listening:
        yield listening


def test_what_is_sent_into_a_cut_is_lost_and_the_connection_is_reset_after_it(
    word: Path, cuts: SocketPartition, server: socket.socket
) -> None:
    with socket.create_connection(server.getsockname()) as sock:
        accepted, _ = server.accept()
        with accepted:
            assert cuts.send(sock, b"before") == 6
            assert accepted.recv(100) == b"before"
            word.write_text(f"{OTHER}\n{HOST}")
            assert cuts.send(sock, b"lost") == 4
            word.write_text("")
            with pytest.raises(ConnectionResetError):
                cuts.send(sock, b"after")
            accepted.setblocking(False)
            with pytest.raises(BlockingIOError):
                accepted.recv(100)


def test_nobody_connects_through_a_cut(word: Path, cuts: SocketPartition, server: socket.socket) -> None:
    word.write_text(HOST)
    with socket.socket() as sock, pytest.raises(OSError, match="No route to host"):
        cuts.connect(sock, server.getsockname())
    word.write_text(OTHER)
    with socket.socket() as sock:
        cuts.connect(sock, server.getsockname())
        assert cuts.send(sock, b"through") == 7
