"""Faults of a fleet by name, and random histories of them, for the model, the mutants and the benchmark."""

from __future__ import annotations

from collections.abc import Callable

from hophinge.maintenance.permits import PermitState
from hophinge.routing.maintenance_records import Outage, Release
from tests.maintenance_world import S, World

Fault = Callable[[World], None]
TOUGH = 8  # steps after which `mend` brings a cut, stopped or lost head back at the latest


def _lot(world: World, names: list[str]) -> str:
    return world.random.choice(names) if names else ""


def cut(world: World) -> None:
    """Cut some heads off the issuer: a partition with the issuer on either side."""
    world.struck["split"] += 1
    count = world.random.randint(1, len(world.heads) - 1)
    world.cut = set(world.random.sample(sorted(world.heads), count))


def lose_head(world: World) -> None:
    """Kill a head that no permit lets go."""
    if name := _lot(world, [name for name, head in world.heads.items() if head.alive]):
        world.kill_head(name)


def lose_on_the_way(world: World) -> None:
    """Kill a head that holds a permit, which stays in force."""
    if name := _lot(
        world,
        [one.name for one in world.store.permits.values() if one.state is PermitState.BACK and one.name in world.heads],
    ):
        world.struck["head with a permit lost"] += 1
        world.heads[name].end()
        world.heads[name].returns_at = 0


def stop_head(world: World) -> None:
    """Stop a head as SIGSTOP does."""
    if name := _lot(world, [name for name, head in world.heads.items() if head.alive]):
        world.struck["head stopped"] += 1
        world.heads[name].frozen = True


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
    """Have a backend fail without a permit."""
    if name := _lot(world, sorted(set(world.backend_zones) - world.backends_down)):
        world.struck["brick lost"] += 1
        world.backends_down.add(name)


def weather(world: World) -> None:
    """Change the loss and delay of messages."""
    world.lose, world.double, world.late = (world.random.choice((0.0, 0.1, 0.3)) for _ in range(3))


def mend(world: World) -> None:
    """Repair one fault of each kind."""
    world.cut = set()
    if world.issuer is None:
        world.start_issuer()
    if name := _lot(world, sorted(world.backends_down)):
        world.backends_down.discard(name)
    for head in world.heads.values():
        if head.frozen and world.random.random() < 0.7:
            head.frozen = False
        elif not head.alive and not head.returns_at and world.random.random() < 0.7:
            head.start()


def outage(world: World) -> None:
    """Push or withdraw an outage of a backend, sometimes of a head."""
    name = f"o{world.random.randint(0, 2)}"
    if name in world.outages:
        del world.outages[name]
    else:
        taken = {one for form in world.outages.values() for one in (*form.backends, *form.heads)}
        backends = [one for one in world.backend_zones if one not in taken]
        heads = [one for one in world.zones if one not in taken]
        form = Outage(
            name,
            tuple(world.random.sample(backends, min(2, len(backends)))),
            (world.random.choice(heads),) if heads and world.random.random() < 0.2 else (),
        )
        if form.backends or form.heads:
            world.outages[name] = form
    world.apply_configuration()


def release(world: World) -> None:
    """Push a release, or change its command."""
    name = f"r{world.random.randint(0, 1)}"
    before = world.releases.get(name)
    if before is None or world.random.random() < 0.1:
        build = str(world.random.randint(2, 9))
        world.releases[name] = Release(name, build, (), (0.3, 1.0), 3 * S, 60 * S, 0.02)
    else:
        word = world.random.choice(("go", "go", "halt", "back"))
        world.releases[name] = Release(
            name,
            before.build,
            (),
            (0.3, 1.0),
            3 * S,
            60 * S,
            0.02,
            word,
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


def wish(world: World) -> None:
    """Have a head request a permit for itself, or withdraw that."""
    if name := _lot(world, [name for name, head in world.heads.items() if head.alive]):
        holder = world.heads[name].holder
        if holder.requested_key:
            holder.withdraw_request()
        else:
            holder.request(int(world.now * world.heads[name].drift), f"own-{world.random.getrandbits(20)}")


def lose_after_a_grant(world: World) -> None:
    """Lose three heads at once just after another was granted a permit."""
    names = [name for name, head in world.heads.items() if head.linked and not head.frozen]
    if len(names) > 4:
        asker, *lost = world.random.sample(names, 4)
        world.heads[asker].holder.request(
            int(world.now * world.heads[asker].drift), f"own-{world.random.getrandbits(20)}"
        )
        world.advance()
        for name in lost:
            world.kill_head(name)


FAULTS: dict[str, Fault] = {
    one.__name__: one
    for one in (
        cut,
        lose_head,
        lose_on_the_way,
        stop_head,
        kill_issuer,
        end_issuer,
        lose_backend,
        weather,
        mend,
        outage,
        release,
        bad_build,
        wish,
        lose_after_a_grant,
    )
}


def history(world: World, steps: int = 40) -> World:
    """Inject random faults and operators' commands, with some steps after each."""
    names = [*FAULTS, *["mend"] * 4, *["outage"] * 3, *["release"] * 2]
    for _ in range(steps):
        FAULTS[world.random.choice(names)](world)
        for _ in range(world.random.randint(1, TOUGH)):
            world.advance(world.random.choice((S // 4, S, 5 * S)))
    return world


def heal(world: World, turns: int = 40) -> None:
    """Repair all faults, and advance until the fleet is stable."""
    world.lose = world.double = world.late = 0.0
    world.store.kill = None
    world.failing.clear()
    world.never_ready.clear()
    world.backends_down.clear()
    for _ in range(10):
        mend(world)
        world.backends_down.clear()
    for head in world.heads.values():
        head.frozen = False
    for _ in range(turns):
        world.advance()
