"""Tests of socket partitions: data for a blocked host is lost, and a connection that lost data is reset."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from hophinge.load.rig.socket_partition import SocketPartition

HOST, OTHER = "127.0.0.1", "127.0.0.2"


@pytest.fixture
def blocked_hosts_file(tmp_path: Path) -> Path:
    return tmp_path / "cuts"


@pytest.fixture
def partition(blocked_hosts_file: Path) -> SocketPartition:
    return SocketPartition(blocked_hosts_file)


@pytest.fixture
def server() -> Iterator[socket.socket]:
    with socket.create_server((HOST, 0)) as listening:
        yield listening


def test_data_for_a_blocked_host_is_lost_and_the_connection_is_reset_after_the_unblock(
    blocked_hosts_file: Path, partition: SocketPartition, server: socket.socket
) -> None:
    with socket.create_connection(server.getsockname()) as sock:
        accepted, _ = server.accept()
        with accepted:
            assert partition.send(sock, b"before") == 6
            assert accepted.recv(100) == b"before"
            blocked_hosts_file.write_text(f"{OTHER}\n{HOST}")
            assert partition.send(sock, b"lost") == 4
            blocked_hosts_file.write_text("")
            with pytest.raises(ConnectionResetError):
                partition.send(sock, b"after")
            accepted.setblocking(False)
            with pytest.raises(BlockingIOError):
                accepted.recv(100)


def test_connecting_to_a_blocked_host_fails(
    blocked_hosts_file: Path, partition: SocketPartition, server: socket.socket
) -> None:
    blocked_hosts_file.write_text(HOST)
    with socket.socket() as sock, pytest.raises(OSError, match="No route to host"):
        partition.connect(sock, server.getsockname())
    blocked_hosts_file.write_text(OTHER)
    with socket.socket() as sock:
        partition.connect(sock, server.getsockname())
        assert partition.send(sock, b"through") == 7
