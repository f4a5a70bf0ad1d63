"""The list of bricks that a head is started with: what is malformed in it keeps nobody from serving."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import pytest

from hophinge.head.config import read_config
from tests.stand_in import Backend, headers, run, world
from tests.test_net import READ
from tests.test_service import HOST, PORT, config, connected, program

GOOD: dict[str, Any] = {"uid": "s-9", "endpoint": "127.0.0.1:9", "state": "Ready", "pod_group": 9}


@pytest.mark.parametrize(
    "known",
    [
        {"rev": 5, "all": True, "targets": [GOOD, {"uid": 7, "endpoint": "127.0.0.1:9", "state": "Ready"}]},
        {"rev": 5, "all": True, "targets": [{"uid": "s-9"}]},
        {"rev": 5, "targets": [3, None, {}]},
    ],
)
def test_a_head_whose_saved_list_is_malformed_starts_and_asks_for_a_whole_one(known: object, tmp_path: Path) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            made.backends[0].objects[READ.split("/", 2)[2]] = b"kept"
            environ = config(tmp_path, listen=f"{HOST}:{PORT}", discovery=made.agent.endpoint, known=known)
            async with program(environ) as process:
                wire = await connected()
                wire.send(READ, headers())
                assert (await wire.receive())[2] == b"kept"  # of a brick that only a whole list names
                assert "since" not in made.agent.asked[0]
                wire.close()
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0

    run(main())


def test_a_sound_saved_list_is_kept_as_it_is(tmp_path: Path) -> None:
    environ = config(tmp_path, known={"rev": 5, "all": True, "targets": [GOOD]})
    known = read_config(environ["EDGE_CONFIG"]).known
    assert (known.rev, known.all, [one.uid for one in known.targets]) == (5, True, ["s-9"])
