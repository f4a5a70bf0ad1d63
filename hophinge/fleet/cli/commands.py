"""`python -m hophinge.fleet.cli`: validates files before they are used, shows a member's status, starts a program."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from hophinge.fleet.configuration.document import validate_document
from hophinge.fleet.settings import SettingsError, read_settings
from hophinge.fleet.transport.bounded_call import CALL_ERRORS, ShortCall, ShortResponse, bounded_pool, send_short_call

EXIT_FINDINGS = 1  # the file is invalid
EXIT_UNREACHABLE = 2  # the member does not answer
SHOW_TIMEOUT_S = 2.0  # for the whole status
MAX_STATUS_BYTES = 16 << 20  # a member lists some hundred bytes for each instance that it knows


async def _request_status(address: str) -> ShortResponse:
    call = ShortCall("GET", f"http://{address}/v1/member", SHOW_TIMEOUT_S, MAX_STATUS_BYTES, [])
    async with bounded_pool() as pool:
        return await send_short_call(pool, call)


def _report_findings(name: str, findings: list[str]) -> None:
    for finding in findings:
        print(f"{name}: {finding}")
    if findings:
        raise cappa.Exit(code=EXIT_FINDINGS)
    print(f"{name}: nothing found")


@cappa.command(name="check-configuration", help="Check an operator's configuration file and tell all that is wrong.")
@dataclass
class CheckConfiguration:
    """Check an operator's configuration file."""

    file: Annotated[Path, cappa.Arg(help="the JSON document")]

    def __call__(self) -> None:
        """Run the command."""
        try:
            data = self.file.read_bytes()
        except OSError as error:
            _report_findings(str(self.file), [str(error.strerror)])
            return
        checked = validate_document(data)
        _report_findings(str(self.file), [str(finding) for finding in checked.error] if checked.is_error() else [])


@cappa.command(name="check-settings", help="Check a process's settings file and tell all that is wrong.")
@dataclass
class CheckSettings:
    """Check a process's settings file."""

    file: Annotated[Path, cappa.Arg(help="the JSON file")]

    def __call__(self) -> None:
        """Run the command."""
        try:
            read_settings(str(self.file))
        except SettingsError as error:
            _report_findings(str(self.file), error.findings)
            return
        _report_findings(str(self.file), [])


@cappa.command(name="show", help="Show how a member stands: view, chain, lag, leases, instances, digests.")
@dataclass
class Show:
    """Show how a member stands."""

    address: Annotated[str, cappa.Arg(help="a control member's control address, or a head's ready address")]

    def __call__(self) -> None:
        """Run the command."""
        try:
            response = asyncio.run(_request_status(self.address))
            status = json.loads(response.body)
        except CALL_ERRORS as error:
            print(f"{self.address} does not answer: {type(error).__name__}", file=sys.stderr)
            raise cappa.Exit(code=EXIT_UNREACHABLE) from error
        except (ValueError, RecursionError) as error:
            print(f"{self.address} is no member: its answer is no JSON document", file=sys.stderr)
            raise cappa.Exit(code=EXIT_UNREACHABLE) from error
        print(json.dumps(status, indent=2))


@cappa.command(name="data-plane", help="Start a head; its settings file stands in HOPHINGE_CONFIG.")
@dataclass
class DataPlane:
    """Start a head."""

    def __call__(self) -> None:
        """Run the command."""
        from hophinge.fleet.dataplane.program import serve
        from hophinge.fleet.program import run

        run(serve)


@cappa.command(name="control-plane", help="Start a control member; its settings file stands in HOPHINGE_CONFIG.")
@dataclass
class ControlPlane:
    """Start a control member."""

    def __call__(self) -> None:
        """Run the command."""
        from hophinge.fleet.controlplane.program import serve
        from hophinge.fleet.program import run

        run(serve)


@cappa.command(name="hophinge-fleet", help="The router fleet for split prefill and decode.")
@dataclass
class Fleet:
    """The command line."""

    command: cappa.Subcommands[CheckConfiguration | CheckSettings | Show | DataPlane | ControlPlane]


def main(arguments: list[str] | None = None) -> None:
    """Run a command."""
    cappa.invoke(Fleet, argv=arguments)
