"""Commands for loads: backends, one run, and an experiment over several rates, each with processes of its own."""

from __future__ import annotations

import asyncio
import json as json_
import os
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from hophinge.cli.console import fail, out

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from hophinge.load.clients import LoadResult
    from hophinge.load.plan import LoadPlan

load = typer.Typer(no_args_is_help=True, help="Open-loop loads by a plan, on loopback.")
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
PlanFile = Annotated[Path, typer.Argument(help="the load's plan, S-expressions")]


def plan_of(path: Path) -> LoadPlan:
    """Return the plan of a file; prints each mistake as one line and exits with status 2."""
    from hophinge.load.plan import read_plan

    try:
        plan, mistakes = read_plan(path.read_bytes())
    except OSError as error:
        raise fail(f"{path}: {error.strerror}") from error
    if mistakes:
        for one in sorted(set(mistakes)):
            print(one.located_in(str(path)), file=sys.stderr)
        raise typer.Exit(2)
    return plan


@load.command("bricks")
def backends(plan: PlanFile, times: Annotated[float, typer.Option(help="of what the bricks do")] = 0.0) -> None:
    """Be the bricks and discovery of a plan until ended; tells discovery's address on standard output."""
    import uvloop

    from hophinge.load.backends import HOST, Platform

    made = plan_of(plan)

    async def main() -> None:
        platform = Platform(made.scaled_to(times) if times else made)
        await platform.start()
        print(f"{HOST}:{platform.port}", flush=True)
        await asyncio.Event().wait()

    uvloop.run(main())


@load.command()
def run(
    plan: PlanFile,
    head: Annotated[str, typer.Option(help="host:port of a head, on loopback")],
    times: Annotated[float, typer.Option(help="of what the bricks do; 0: the plan's own rates")] = 0.0,
    begin: Annotated[str, typer.Option(help="a URL to call when it starts")] = "",
) -> None:
    """Play a plan against a head that runs, and print the table."""
    from hophinge.load.clients import LoadGenerator
    from hophinge.load.report import render_table

    host = head.rpartition(":")[0]
    if not (host == "localhost" or host.startswith("127.") or host == "[::1]"):
        raise fail(f"{head} is not on loopback: loads are for this machine alone")
    made = plan_of(plan)
    import uvloop

    result = uvloop.run(LoadGenerator(made.scaled_to(times) if times else made, head).run(begin))
    print(render_table(str(plan), {f"{times:g}" if times else "as planned": result}))


def _head_config(example: Path, port: int, discovery: str, backends: int) -> str:
    """Return the configuration of a head on a port of loopback, with the discovery and backends of a load."""
    body: dict[str, Any] = json_.loads(example.read_text())
    body.update(listen=f"127.0.0.1:{port}", discovery=discovery, known={"rev": 0, "all": True, "targets": []})
    body.pop("control", None)
    body["settings"]["Domain"]["NShards"] = backends
    return json_.dumps(body)


async def _wait_until_ready(url: str) -> None:
    """Wait until a head is ready; raises TimeoutError after `READY_TIMEOUT_S`."""
    import aiohttp

    async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def running_head(
    plan_path: Path, plan: LoadPlan, utilization: float, config: Path, operator: Path | None, program: Path
) -> AsyncIterator[tuple[str, str]]:
    """Start backends and a head in processes of their own; yields the addresses of the head and of discovery."""
    from hophinge.cli.demo import free_port

    processes: list[asyncio.subprocess.Process] = []
    with tempfile.TemporaryDirectory(prefix="hophinge-load-") as folder:
        try:
            words = [sys.executable, "-m", "hophinge", "load", "bricks", str(plan_path), "--times", str(utilization)]
            made = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE)
            processes.append(made)
            assert made.stdout is not None
            discovery = (await made.stdout.readline()).decode().strip()
            port = free_port()
            config_path = Path(folder) / "config.json"
            config_path.write_text(_head_config(config, port, discovery, plan.backends))
            environ = {**os.environ, "EDGE_CONFIG": str(config_path)}
            if operator is not None:
                environ["HOPHINGE_OPERATOR_FILE"] = str(operator.resolve())
            with (Path(folder) / "log").open("wb") as log:
                processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable, "-m", "hophinge", cwd=program, env=environ, stdout=log, stderr=log
                    )
                )
            await _wait_until_ready(f"http://127.0.0.1:{port}/healthz")
            yield f"127.0.0.1:{port}", discovery
        finally:
            for process in reversed(processes):
                if process.returncode is None:
                    process.terminate()
                await process.wait()


async def _experiment(
    path: Path, plan: LoadPlan, factors: list[float], config: Path, operator: Path | None, program: Path
) -> dict[str, LoadResult]:
    from hophinge.load.clients import LoadGenerator

    results: dict[str, LoadResult] = {}
    for times in factors:
        made = plan.scaled_to(times) if times else plan
        async with running_head(path, plan, times, config, operator, program) as (head, discovery):
            results[f"{times:g}" if times else "as planned"] = await LoadGenerator(made, head).run(
                f"http://{discovery}/begin"
            )
    return results


@load.command()
def experiment(
    plan: PlanFile,
    config: Annotated[Path, typer.Option(help="a head's JSON file")],
    times: Annotated[list[float] | None, typer.Option(help="of what the bricks do; once for each")] = None,
    operator: Annotated[Path | None, typer.Option(help="the operator's TOML file")] = None,
    program: Annotated[Path, typer.Option(help="the checkout whose head runs")] = Path("."),
    out_file: Annotated[Path | None, typer.Option("--out", help="writes FILE.md and FILE.svg")] = None,
) -> None:
    """Play a plan at several rates, each against a head and bricks that have just started; write table and chart."""
    import uvloop

    from hophinge.load.report import earned_share_by_second, render_chart, render_table

    made = plan_of(plan)
    results = uvloop.run(_experiment(plan, made, times or [0.0], config, operator, program.resolve()))
    text = render_table(plan.stem, results)
    out.print(text, markup=False, soft_wrap=True)
    if out_file is not None:
        out_file.with_suffix(".md").write_text(text)
        lines = {name: earned_share_by_second(one) for name, one in results.items()}
        if len(results) > 1:
            lines = {
                "earned": [(float(name), one.goodput) for name, one in results.items()],
                "asked for": [(float(name), one.offered_value_rate) for name, one in results.items()],
            }
        across = "times what the bricks do" if len(results) > 1 else "second of arrival"
        out_file.with_suffix(".svg").write_bytes(render_chart(plan.stem, lines, across, "worth"))
