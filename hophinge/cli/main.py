"""The command line: commands, tables and logs. Each command imports what it needs, so that mistakes show at once."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import structlog
import typer
from rich.table import Table

from hophinge.cli import load_commands, maintenance_status, tenant_commands
from hophinge.cli.console import fail, out

if TYPE_CHECKING:
    from collections.abc import Callable

    from hophinge.cli.control_service import AccountsService
    from hophinge.control.store import ControlStore

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A head for shared storage, and the service that streams its configuration.",
)
control = typer.Typer(no_args_is_help=True, help="The control service and what staff ask of it.")
app.add_typer(control, name="control")
app.add_typer(tenant_commands.tenant, name="tenant")
app.add_typer(tenant_commands.audit, name="audit")
app.add_typer(load_commands.load, name="load")

Address = Annotated[str, typer.Option(help="host:port of the control service", envvar="HOPHINGE_CONTROL")]
TokenFile = Annotated[
    Path,
    typer.Option("--token-file", help="holds the token of staff, alone or as NAME TOKEN", envvar="HOPHINGE_TOKEN_FILE"),
]
DEFAULT_CONTROL_ADDRESS = "127.0.0.1:9700"
DEFAULT_ADMIN_ADDRESS = "127.0.0.1:9081"


def configure_logging(as_json: bool) -> Any:
    """Configure structured logs, as JSON lines or for a terminal, and return the logger."""
    renderer: Any = (
        structlog.processors.JSONRenderer() if as_json else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    stamp = structlog.processors.TimeStamper(fmt="iso", utc=True)
    structlog.configure(
        processors=[structlog.processors.add_log_level, stamp, renderer],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()


@app.command()
def run(
    config: Annotated[Path | None, typer.Option(help="the head's JSON file; else EDGE_CONFIG names it")] = None,
    operator: Annotated[Path | None, typer.Option(help="the operator's TOML file")] = None,
) -> None:
    """Run a head, as `python -m hophinge` without words does."""
    environ = dict(os.environ)
    if config is not None:
        environ["EDGE_CONFIG"] = str(config)
    if operator is not None:
        environ["HOPHINGE_OPERATOR_FILE"] = str(operator)
    sys.stdout.flush()
    os.execve(sys.executable, [sys.executable, "-m", "hophinge"], environ)


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="service documents")]) -> None:
    """Check service documents; each mistake is one line FILE:LINE:COLUMN: what is wrong, and the status is 2."""
    from hophinge.routing.document_reader import read_document

    wrong = False
    for file in files:
        try:
            document = read_document(file.read_bytes())
        except OSError as error:
            raise fail(f"{file}: {error.strerror}") from error
        for line in document.mistake_lines(str(file)):
            wrong = True
            print(line, file=sys.stderr)
        if not document.mistakes:
            kinds: dict[str, int] = {}
            for name in document.records:
                kinds[name.partition("/")[0]] = kinds.get(name.partition("/")[0], 0) + 1
            print(f"{file}: good; " + ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items())))
    if wrong:
        raise typer.Exit(2)


@app.command()
def demo() -> None:
    """Start bricks, discovery, a control service and a head on loopback, use them, and end by itself."""
    from hophinge.cli.demo import main as play

    raise typer.Exit(asyncio.run(play(out)))


@control.command()
def serve(
    store: Annotated[Path, typer.Option(help="the file that holds all versions; made where there is none")],
    heads: Annotated[Path, typer.Option(help="tokens of heads, NAME TOKEN a line")],
    staff: Annotated[Path, typer.Option(help="tokens of staff, NAME TOKEN a line")],
    listen: Annotated[str, typer.Option(help="host:port")] = DEFAULT_CONTROL_ADDRESS,
    new_epoch: Annotated[bool, typer.Option(help="after the store was restored from a backup")] = False,
    accounts: Annotated[Path | None, typer.Option(help="the ledger of tenants, which heads then copy")] = None,
    admin: Annotated[
        str, typer.Option(help="host:port of the administration API, with --accounts")
    ] = DEFAULT_ADMIN_ADDRESS,
    admin_token: Annotated[Path | None, typer.Option(help="holds the operator's token for it")] = None,
    plan: Annotated[list[str] | None, typer.Option(help="a plan of the platform; once for each")] = None,
    json: Annotated[bool, typer.Option(help="logs as JSON lines")] = False,
) -> None:
    """Serve versions to heads until SIGTERM."""
    from hophinge.control.store import ControlStore, StoreError
    from hophinge.control.tokens import read_tokens
    from hophinge.state.ledger import LedgerError

    log = configure_logging(json)
    try:
        head_tokens, operator_tokens = read_tokens(heads), read_tokens(staff)
        if head_tokens.keys() & operator_tokens.keys():
            raise fail("a token stands among those of heads and those of staff")
        accounts_service = None
        if accounts is not None:
            if admin_token is None or not plan:
                raise fail("--accounts needs --admin-token, and --plan for each plan that there is")
            from hophinge.cli.control_service import AccountsService

            plans = frozenset(plan)
            accounts_service = AccountsService(accounts, admin, admin_token, plans, lambda text: log.info(text))
        control_store = ControlStore(store, new_epoch)
    except (OSError, ValueError, StoreError, LedgerError) as error:
        raise fail(str(error)) from error
    _run_service(control_store, head_tokens, operator_tokens, listen, lambda text: log.info(text), accounts_service)


def _run_service(
    store: ControlStore,
    head_tokens: dict[str, str],
    operator_tokens: dict[str, str],
    listen: str,
    log: Callable[[str], None],
    accounts_service: AccountsService | None,
) -> None:
    """Run the control service until SIGTERM or SIGINT."""
    import uvloop

    from hophinge.cli.control_service import serve_control
    from hophinge.head.config import ConfigError

    async def main() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        await serve_control(store, head_tokens, operator_tokens, listen, log, stopping, accounts_service)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main())
    except (OSError, ConfigError) as error:
        raise fail(str(error)) from error


def call_operator(address: str, token_file: Path, method: str, **body: Any) -> dict[str, Any]:
    """Make one call of the operators' API; exits with status 1 where it fails."""
    from hophinge.control.operator_client import call_operator_api

    try:
        words = token_file.read_text().split()
        if not words:
            raise fail(f"{token_file}: no token")
        data = asyncio.run(call_operator_api(address, words[-1], method, msgspec.json.encode(body)))
    except (OSError, ValueError) as error:  # a ConnectionError is an OSError
        raise fail(str(error), 1) from error
    return msgspec.json.decode(data, type=dict[str, Any])


@control.command()
def push(
    file: Path,
    token_file: TokenFile,
    address: Address = DEFAULT_CONTROL_ADDRESS,
    note: Annotated[str, typer.Option(help="why, for the history")] = "",
    expect: Annotated[str, typer.Option(help="only if this is the newest version, as in 1.17")] = "",
) -> None:
    """Push a service document as the next version."""
    try:
        text = file.read_bytes().decode()
    except OSError as error:
        raise fail(f"{file}: {error.strerror}") from error
    except UnicodeDecodeError:
        check([file])
        raise
    done = call_operator(address, token_file, "Push", text=text, name=str(file), note=note, expect=expect)
    if mistakes := done.get("mistakes"):
        for line in mistakes:
            print(line, file=sys.stderr)
        raise typer.Exit(2)
    print(f"version {done['version']}" + (" holds this already" if done.get("unchanged") else ""))


@control.command()
def status(
    token_file: TokenFile,
    address: Address = DEFAULT_CONTROL_ADDRESS,
    json: Annotated[bool, typer.Option(help="as JSON")] = False,
) -> None:
    """Tell which head runs what, and where the rollout stands; status 3 while a rollout is held."""
    answer = call_operator(address, token_file, "Status")
    if json:
        print(msgspec.json.format(msgspec.json.encode(answer), indent=1).decode())
    else:
        reason = f": {answer['reason']}" if answer["reason"] else ""
        out.print(
            f"version {answer['target']} is {answer['stage']}, wave {answer['wave']} of {answer['last_wave']}{reason}; "
            f"stable is {answer['stable']}, epoch {answer['epoch']}",
            markup=False,
        )
        table = Table("head", "here", "runs", "wanted", "requests", "failed", "turned down")
        for head in answer["heads"]:
            table.add_row(
                head["name"],
                "yes" if head["connected"] else "no",
                head["runs"],
                head["wanted"],
                f"{head['taken']:.0f}",
                f"{head['failed']:.0f}",
                f"{head['turned_down']}: {head['reason']}" if head["reason"] else "",
            )
        out.print(table)
        maintenance_status.print_maintenance(answer["maintenance"])
    if answer["stage"] == "held":
        raise typer.Exit(3)


@control.command()
def history(
    token_file: TokenFile,
    address: Address = DEFAULT_CONTROL_ADDRESS,
    most: Annotated[int, typer.Option(help="rows")] = 20,
    json: Annotated[bool, typer.Option(help="as JSON")] = False,
) -> None:
    """Tell the newest versions and what was done with them."""
    import datetime

    answer = call_operator(address, token_file, "History", most=most)
    if json:
        print(msgspec.json.format(msgspec.json.encode(answer), indent=1).decode())
        return

    def when(ms: int) -> str:
        return datetime.datetime.fromtimestamp(ms / 1000, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")

    table = Table("version", "pushed (UTC)", "by", "changed", "removed", "note")
    for row in answer["versions"]:
        table.add_row(
            row["version"], when(row["pushed_ms"]), row["who"], str(row["changed"]), str(row["removed"]), row["note"]
        )
    out.print(table)
    table = Table("at (UTC)", "by", "what", "detail")
    for row in answer["audit"]:
        table.add_row(when(row["at_ms"]), row["who"], row["what"], row["detail"])
    out.print(table)


@control.command()
def rollback(
    to: Annotated[str, typer.Argument(help="a former version, as in 1.17")],
    token_file: TokenFile,
    address: Address = DEFAULT_CONTROL_ADDRESS,
    at_once: Annotated[bool, typer.Option(help="to all heads, without waves")] = False,
) -> None:
    """Push the content of a former version as the next one."""
    done = call_operator(address, token_file, "Rollback", to=to, at_once=at_once)
    print(f"version {done['version']} has the content of {to}")


@control.command()
def resume(token_file: TokenFile, address: Address = DEFAULT_CONTROL_ADDRESS) -> None:
    """Go on with a held rollout."""
    print(f"version {call_operator(address, token_file, 'Resume')['version']} goes on")


def main() -> int:
    """Run the command line and return the exit status."""
    try:
        app(prog_name="hophinge", standalone_mode=True)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
