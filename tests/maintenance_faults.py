"""Faults of a simulated fleet by name, and random histories of them, for the model, the mutants and the benchmark."""

from __future__ import annotations

from collections.abc import Callable

from hophinge.maintenance.permits import PermitState
from hophinge.routing.maintenance_records import Outage, Release
from tests.maintenance_world import S, World

Fault = Callable[[World], None]
MAX_STEPS_PER_FAULT = 8  # of the simulation after each fault


def _choose(world: World, names: list[str]) -> str:
    return world.random.choice(names) if names else ""


def partition(world: World) -> None:
    """Partition the network: some heads cannot reach the issuer, which may be in either part."""
    world.struck["split"] += 1
    count = world.random.randint(1, len(world.heads) - 1)
    world.cut = set(world.random.sample(sorted(world.heads), count))


def lose_head(world: World) -> None:
    """Kill a running head."""
    if name := _choose(world, [name for name, head in world.heads.items() if head.alive]):
        world.kill_head(name)


def lose_head_with_permit(world: World) -> None:
    """Kill a head that is back but still has its permit, which stays in force."""
    if name := _choose(
        world,
        [
            permit.name
            for permit in world.store.permits.values()
            if permit.state is PermitState.BACK and permit.name in world.heads
        ],
    ):
        world.struck["head with a permit lost"] += 1
        world.heads[name].end()
        world.heads[name].returns_at = 0


def stop_head(world: World) -> None:
    """Stop a head as SIGSTOP does."""
    if name := _choose(world, [name for name, head in world.heads.items() if head.alive]):
        world.struck["head stopped"] += 1
        world.heads[name].is_stopped = True


def kill_issuer(world: World) -> None:
    """Kill the issuer at one of its next saves, before or after it."""
    if world.issuer is not None and world.store.kill is None:
        world.store.kill = world.store.saves + world.random.randint(1, 3), world.random.random() < 0.5


def end_issuer(world: World) -> None:
    """Kill the issuer between steps."""
    if world.issuer is not None:
        world.struck["issuer ended"] += 1
        world.stop_issuer()


def lose_backend(world: World) -> None:
    """Let a backend fail without a permit."""
    if name := _choose(world, sorted(set(world.backend_zones) - world.backends_down)):
        world.struck["brick lost"] += 1
        world.backends_down.add(name)


def change_message_faults(world: World) -> None:
    """Change the rates of lost, duplicated and late messages."""
    world.loss_rate, world.duplicate_rate, world.delay_rate = (world.random.choice((0.0, 0.1, 0.3)) for _ in range(3))


def mend(world: World) -> None:
    """Repair one fault of each kind."""
    world.cut = set()
    if world.issuer is None:
        world.start_issuer()
    if name := _choose(world, sorted(world.backends_down)):
        world.backends_down.discard(name)
    for head in world.heads.values():
        if head.is_stopped and world.random.random() < 0.7:
            head.is_stopped = False
        elif not head.alive and not head.returns_at and world.random.random() < 0.7:
            head.start()


def outage(world: World) -> None:
    """Push or withdraw an outage of backends, sometimes of a head."""
    name = f"o{world.random.randint(0, 2)}"
    if name in world.outages:
        del world.outages[name]
    else:
        used = {target for other in world.outages.values() for target in (*other.backends, *other.heads)}
        backends = [backend for backend in world.backend_zones if backend not in used]
        heads = [head for head in world.zones if head not in used]
        outage_record = Outage(
            name,
            tuple(world.random.sample(backends, min(2, len(backends)))),
            (world.random.choice(heads),) if heads and world.random.random() < 0.2 else (),
        )
        if outage_record.backends or outage_record.heads:
            world.outages[name] = outage_record
    world.apply_configuration()


def release(world: World) -> None:
    """Push a release, or change its command."""
    name = f"r{world.random.randint(0, 1)}"
    before = world.releases.get(name)
    if before is None or world.random.random() < 0.1:
        build = str(world.random.randint(2, 9))
        world.releases[name] = Release(name, build, (), (0.3, 1.0), 3 * S, 60 * S, 0.02)
    else:
        command = world.random.choice(("go", "go", "halt", "back"))
        world.releases[name] = Release(
            name,
            before.build,
            (),
            (0.3, 1.0),
            3 * S,
            60 * S,
            0.02,
            command,
            before.resume_count + world.random.randint(0, 1),
        )
    world.apply_configuration()


def bad_build(world: World) -> None:
    """Make a build fail at some heads, or never become ready."""
    build = str(world.random.randint(2, 9))
    world.struck["bad build"] += 1
    if world.random.random() < 0.5:
        world.failing[build] = 0.3
    else:
        world.never_ready.add(build)


def request_permit_for_head(world: World) -> None:
    """Let a head request a permit for itself, or withdraw the request."""
    if name := _choose(world, [name for name, head in world.heads.items() if head.alive]):
        holder = world.heads[name].holder
        if holder.requested_key:
            holder.withdraw_request()
        else:
            holder.request(int(world.now * world.heads[name].drift), f"own-{world.random.getrandbits(20)}")


def lose_after_a_grant(world: World) -> None:
    """Lose three heads at once just after another was granted a permit."""
    names = [name for name, head in world.heads.items() if head.is_connected and not head.is_stopped]
    if len(names) > 4:
        requester, *lost = world.random.sample(names, 4)
        world.heads[requester].holder.request(
            int(world.now * world.heads[requester].drift), f"own-{world.random.getrandbits(20)}"
        )
        world.advance()
        for name in lost:
            world.kill_head(name)


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        partition,
        lose_head,
        lose_head_with_permit,
        stop_head,
        kill_issuer,
        end_issuer,
        lose_backend,
        change_message_faults,
        mend,
        outage,
        release,
        bad_build,
        request_permit_for_head,
        lose_after_a_grant,
    )
}


def history(world: World, steps: int = 40) -> World:
    """Inject random faults and operators' commands, and advance some steps after each."""
    names = [*FAULTS, *["mend"] * 4, *["outage"] * 3, *["release"] * 2]
    for _ in range(steps):
        FAULTS[world.random.choice(names)](world)
        for _ in range(world.random.randint(1, MAX_STEPS_PER_FAULT)):
            world.advance(world.random.choice((S // 4, S, 5 * S)))
    return world


def heal(world: World, turns: int = 40) -> None:
    """Repair all faults, and advance until the fleet is stable."""
    world.loss_rate = world.duplicate_rate = world.delay_rate = 0.0
    world.store.kill = None
    world.failing.clear()
    world.never_ready.clear()
    world.backends_down.clear()
    for _ in range(10):
        mend(world)
        world.backends_down.clear()
    for head in world.heads.values():
        head.is_stopped = False
    for _ in range(turns):
        world.advance()
