"""Commands for tenants' accounts: they call the administration API, except those that read a file."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from hophinge.cli.console import fail, out

tenant = typer.Typer(no_args_is_help=True, help="Tenants, by the administration API.")
key = typer.Typer(no_args_is_help=True, help="A tenant's keys.")
volume = typer.Typer(no_args_is_help=True, help="A tenant's buckets.")
audit = typer.Typer(no_args_is_help=True, help="The audit of all changes to accounts.")
tenant.add_typer(key, name="key")
tenant.add_typer(volume, name="volume")

Url = Annotated[str, typer.Option(help="of the administration API", envvar="HOPHINGE_ADMIN")]
TokenFile = Annotated[
    Path, typer.Option("--token-file", help="holds the operator's token, or a key", envvar="HOPHINGE_TOKEN_FILE")
]
Name = Annotated[str, typer.Argument(help="the tenant")]
DEFAULT_URL = "http://127.0.0.1:9081"
PAGE = 500
TIMEOUT_S = 30.0  # for a whole call
MAX_ANSWER_BYTES = 16 << 20


def call_admin_api(url: str, token_file: Path, method: str, path: str, body: Any = None, match: str = "") -> Any:
    """Make one call of the administration API; exits with status 1 where it fails."""
    import aiohttp

    from hophinge.net.bounded_body import read_body

    async def main() -> tuple[int, bytes]:
        headers = {
            "Accept-Encoding": "identity",
            "Authorization": f"Bearer {token_file.read_text().split()[-1]}",
            **({"If-Match": match} if match else {}),
        }
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(TIMEOUT_S), auto_decompress=False) as session,
            session.request(
                method,
                url.rstrip("/") + path,
                headers=headers,
                data=None if body is None else msgspec.json.encode(body),
            ) as answer,
        ):
            return answer.status, await read_body(answer, MAX_ANSWER_BYTES)

    try:
        status, text = asyncio.run(main())
    except IndexError as error:
        raise fail(f"{token_file}: no token") from error
    except (OSError, aiohttp.ClientError, TimeoutError) as error:
        raise fail(f"{url}: {error}", 1) from error
    answer_body = msgspec.json.decode(text) if text else None
    if status >= 400:
        problem = answer_body if isinstance(answer_body, dict) else {}
        raise fail(f"{problem.get('title', 'the call failed')} ({status}): {problem.get('detail', '')}", 1)
    return answer_body


def print_json(answer: Any) -> None:
    """Print an answer as JSON."""
    print(msgspec.json.format(msgspec.json.encode(answer), indent=1).decode())


@tenant.command("list")
def list_(token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """List all tenants."""
    from rich.table import Table

    table, after = Table("tenant", "state", "buckets", "keys", "reserve, units/s", "note"), ""
    while after is not None:
        page = call_admin_api(url, token_file, "GET", f"/v1/tenants?limit={PAGE}&after={after}")
        for row in page["tenants"]:
            table.add_row(
                row["name"],
                row["state"],
                str(row["volumes"]),
                str(row["keys"]),
                f"{row['shares']['reserve']:g}",
                row["note"],
            )
        after = page["next"]
    out.print(table)


@tenant.command("show")
def show_(name: Name, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """Show a tenant."""
    print_json(call_admin_api(url, token_file, "GET", f"/v1/tenants/{name}"))


@tenant.command()
def create(
    name: Name,
    token_file: TokenFile,
    url: Url = DEFAULT_URL,
    reserve: Annotated[float, typer.Option(help="units a second over all heads")] = 0.0,
    weight: Annotated[float, typer.Option(help="in what is spare")] = 1.0,
    note: str = "",
) -> None:
    """Make a tenant."""
    print_json(
        call_admin_api(
            url,
            token_file,
            "PUT",
            f"/v1/tenants/{name}",
            {"shares": {"reserve": reserve, "weight": weight}, "note": note},
        )
    )


@tenant.command()
def suspend(name: Name, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """Serve a tenant no more; everything of it is kept."""
    print_json(call_admin_api(url, token_file, "PATCH", f"/v1/tenants/{name}", {"state": "suspended"}, "*"))


@tenant.command()
def resume(name: Name, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """Serve a suspended tenant again."""
    print_json(call_admin_api(url, token_file, "PATCH", f"/v1/tenants/{name}", {"state": "active"}, "*"))


@tenant.command()
def delete(
    name: Name,
    token_file: TokenFile,
    url: Url = DEFAULT_URL,
    yes: Annotated[bool, typer.Option("--yes", help="it cannot be undone")] = False,
) -> None:
    """Close a tenant: keys, uploads and buckets go, and its name is free once they have."""
    if not yes:
        raise fail("a closed tenant does not come back: say --yes")
    print_json(call_admin_api(url, token_file, "DELETE", f"/v1/tenants/{name}", match="*"))


@tenant.command()
def usage(name: Name, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """Tell what a tenant used."""
    print_json(call_admin_api(url, token_file, "GET", f"/v1/tenants/{name}/usage"))


@tenant.command()
def export(store: Annotated[Path, typer.Argument(help="a head's tenants.db")]) -> None:
    """Write accounts as the old tenants.json had them."""
    from hophinge.objects.account_access import export_accounts as write
    from hophinge.state.ledger import Ledger, LedgerError

    if not store.exists():
        raise fail(f"{store}: there is no such file")
    try:
        ledger = Ledger(store)
        print(write(ledger.rows()).decode(), end="")
    except LedgerError as error:
        raise fail(str(error)) from error


@volume.command("list")
def list_volumes(name: Name, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """List a tenant's buckets."""
    print_json(call_admin_api(url, token_file, "GET", f"/v1/tenants/{name}/volumes?limit={PAGE}"))


@volume.command("put")
def put_volume(name: Name, bucket: str, plan: str, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """Make a bucket, or move it to another plan."""
    print_json(call_admin_api(url, token_file, "PUT", f"/v1/tenants/{name}/volumes/{bucket}", {"plan": plan}, "*"))


@key.command("list")
def list_keys(name: Name, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """List a tenant's keys."""
    print_json(call_admin_api(url, token_file, "GET", f"/v1/tenants/{name}/keys?limit={PAGE}"))


@key.command("create")
def create_key(
    name: Name,
    token_file: TokenFile,
    url: Url = DEFAULT_URL,
    role: Annotated[str, typer.Option(help="data, administrator or reader")] = "data",
    expires_s: Annotated[int, typer.Option(help="0: until it is ended")] = 0,
    note: str = "",
) -> None:
    """Make a key; it is told this once."""
    print_json(
        call_admin_api(
            url, token_file, "POST", f"/v1/tenants/{name}/keys", {"role": role, "expires_s": expires_s, "note": note}
        )
    )


@key.command("rotate")
def rotate_key(
    name: Name,
    key_id: str,
    token_file: TokenFile,
    url: Url = DEFAULT_URL,
    overlap_s: Annotated[int, typer.Option(help="for how long the old one lives on")] = 3600,
) -> None:
    """Make the key that replaces one."""
    print_json(
        call_admin_api(url, token_file, "POST", f"/v1/tenants/{name}/keys/{key_id}/rotate", {"overlap_s": overlap_s})
    )


@key.command("end")
def end_key(name: Name, key_id: str, token_file: TokenFile, url: Url = DEFAULT_URL) -> None:
    """End a key."""
    call_admin_api(url, token_file, "DELETE", f"/v1/tenants/{name}/keys/{key_id}")


@audit.command("verify")
def verify(
    store: Annotated[Path, typer.Argument(help="the ledger: tenants.db of a head, or accounts.db")],
    head: Annotated[str, typer.Option(help="a hash told earlier, that has to be there still")] = "",
) -> None:
    """Check that no entry was changed, removed or inserted; status 3 and the first one touched where one was."""
    from hophinge.state.ledger import LedgerError
    from hophinge.state.ledger import verify as check

    if not store.exists():
        raise fail(f"{store}: there is no such file")
    try:
        count, last, touched = check(store, head)
    except LedgerError as error:
        raise fail(str(error)) from error
    if touched is not None:
        raise fail(f"{store}: entry {touched.seq} was touched: {touched.reason}", 3)
    print(f"{store}: {count} entries, all as they were written; the last one's hash is {last}")
