"""Discovery: the list of backends during errors, restarts and missing answers."""

from __future__ import annotations

import pytest

from hophinge.core.interface import ListKind
from hophinge.net.discovery import Listing, Target
from tests.stand_in import Backend, headers, run_in_real_time as run, until, world
from tests.test_net import READ


def test_watches_are_chained_and_survive_errors_and_restarts() -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            service, agent = await made.head(), made.agent
            phases = service.exchange.phases
            assert agent.asked[0] == "/v1/servers"
            await agent.tell(made.backends[0].target("Terminating"))
            await until(lambda: phases["s-0"].value == "draining")
            await until(lambda: agent.asked[-1] == "/v1/servers?since=2&timeout_ms=1000")
            await agent.tell(made.backends[0].target("Gone"))
            await until(lambda: "s-0" not in phases and "s-0" not in service.directory.endpoints)
            moved = made.backends[1].target()
            await agent.tell(Target("s-0", moved.endpoint, "Ready", "hall-a", "std-1c", 0, 1.0, 1_700_000_000_000))
            await until(lambda: service.directory.endpoints.get("s-0") == moved.endpoint and "s-0" in phases)
            assert service.exchange.scheduler.nodes["s-0"].entry.started_us == 1_700_000_000_000_000
            await agent.close()  # the agent stops and starts again
            await until(lambda: service.counters.counts["discovery_errors"] > 0)
            assert phases["s-0"].value == "on"
            await agent.open()
            await agent.tell(made.backends[1].target("Terminating"))
            await until(lambda: phases["s-1"].value == "draining")

    run(main())


def test_a_head_with_a_list_requests_its_changes_and_a_complete_list_after_a_lower_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("hophinge.net.discovery_pacer.PUSHED_WATCH_S", 0.1)

    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            agent, saved = made.agent, [made.backends[0].target()]
            service = await made.head(saved=saved)
            assert agent.asked[0] == "/v1/servers?since=0&timeout_ms=100"
            await agent.tell(made.backends[1].target())
            await until(lambda: "s-1" in service.exchange.phases)
            assert not any(path == "/v1/servers" for path in agent.asked)
            agent.rev, agent.changes = 0, []  # another agent, with a lower version
            del agent.targets["s-1"]
            await until(lambda: "/v1/servers" in agent.asked and "s-1" not in service.exchange.phases)
            assert "s-0" in service.exchange.phases

    run(main())


def test_a_discovery_fault_is_logged_once_and_the_list_stays_in_effect(capsys: pytest.CaptureFixture[str]) -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            agent, counts = made.agent, (service := await made.head()).counters.counts
            await until(lambda: agent.watching == 1)
            agent.away = "0"
            await agent.tell(made.backends[0].target())  # ends the watch; the next ones are rejected
            await until(lambda: counts["discovery_errors"] >= 3)
            assert service.exchange.phases["s-0"].value == "on"
            agent.away, answers = "", counts["discovery_answers"]
            await until(lambda: agent.watching == 1)
            await agent.tell(made.backends[0].target())
            await until(lambda: counts["discovery_answers"] > answers and agent.watching == 1)
            agent.targets = {"s-9": Target("s-9", "nowhere", "Ready")}  # a complete list without a valid entry
            service.discovery.rev = None
            await agent.tell(Target("s-9", "nowhere", "Ready"))
            await until(lambda: counts["discovery_errors"] >= 5)
            assert list(service.exchange.phases) == ["s-0"]

    run(main())
    lines = [line for line in capsys.readouterr().out.splitlines() if line.startswith("discovery at ")]
    assert [line.split(" ", 3)[3] for line in lines] == [
        "is failing, keeping the current list: status 503",
        "has recovered",
        "is failing, keeping the current list: ValidationError a complete list without a valid entry",
    ]


def test_a_head_starts_from_its_saved_list_while_discovery_does_not_answer() -> None:
    async def main() -> None:
        async with world(Backend(0)) as made:
            made.agent.silent = True
            service = await made.head()
            assert service.front.ready and service.counters.counts["discovery_answers"] == 0
            service.exchange.nodes(service.directory.apply(Listing(0, [made.backends[0].target()]), ListKind.SAVED))
            wire = await made.wire(service)
            wire.send(READ, headers())
            assert (await wire.receive())[0] == 404 and made.backends[0].seen

    run(main())
