"""Command line of the control service, and the files that the service and heads read."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from hophinge.control.tokens import read_tokens
from hophinge.head.operator_config import load
from tests.installation import OPERATOR_TOKEN, serving
from tests.test_service import ROOT


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "hophinge", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_mistakes_are_reported_by_line_and_exit_code(tmp_path: Path) -> None:
    good = command("check", "examples/service.sexp")
    assert good.returncode == 0 and "3 pool" in good.stdout
    bad = tmp_path / "bad.sexp"
    bad.write_text("(hophinge 1)\n(limit (rate 5))\n(odd)\n")
    result = command("check", str(bad))
    assert result.returncode == 2 and [line.split(": ")[0] for line in result.stderr.splitlines()] == [
        f"{bad}:2:14",
        f"{bad}:3:1",
    ]
    assert command("check", str(tmp_path / "none")).returncode == 2
    token = tmp_path / "token"
    token.write_text(OPERATOR_TOKEN)
    unreachable = command("control", "status", "--token-file", str(token), "--address", "127.0.0.1:9")
    assert unreachable.returncode == 1 and unreachable.stderr.count("\n") == 1 and "127.0.0.1:9" in unreachable.stderr
    (tmp_path / "t").write_text("x short\n")
    refused = command(
        "control", "serve", "--store", str(tmp_path / "s.db"), "--heads", str(tmp_path / "t"), "--staff", str(token)
    )
    assert refused.returncode == 2 and refused.stderr.startswith(f"hophinge: {tmp_path}/t:1: expected NAME TOKEN")


def test_push_status_and_rollback_by_command(tmp_path: Path) -> None:
    process, port = serving(tmp_path)
    token = tmp_path / "token"
    token.write_text(OPERATOR_TOKEN)
    connection_options = ("--token-file", str(token), "--address", f"127.0.0.1:{port}")
    try:
        assert (
            command("control", "push", "examples/service.sexp", *connection_options, "--note", "first").stdout
            == "version 1.1\n"
        )
        assert "holds this already" in command("control", "push", "examples/service.sexp", *connection_options).stdout
        (tmp_path / "b.sexp").write_text("(hophinge 1)(odd)")
        bad = command("control", "push", str(tmp_path / "b.sexp"), *connection_options)
        assert bad.returncode == 2 and "b.sexp:1:13: unknown form 'odd'" in bad.stderr
        assert "version 1.2 has the content of 1.1" in command("control", "rollback", "1.1", *connection_options).stdout
        shown = command("control", "status", *connection_options)
        assert shown.returncode == 0 and "version 1.2 is rolling" in shown.stdout
        assert "first" in command("control", "history", *connection_options).stdout
        assert command("control", "resume", *connection_options).returncode == 1
    finally:
        process.terminate()
        assert process.wait() == 0
        assert process.stderr is not None
        process.stderr.close()


def test_token_files_are_validated(tmp_path: Path) -> None:
    path = tmp_path / "t"
    for text, message in (
        ("a short", "16"),
        ("", "no token"),
        (f"a {OPERATOR_TOKEN}\nb {OPERATOR_TOKEN}", "this token is already that of a"),
    ):
        path.write_text(text)
        with pytest.raises(ValueError, match=message):
            read_tokens(path)


def test_stream_section_of_the_operator_s_file_is_validated(tmp_path: Path) -> None:
    path = tmp_path / "op.toml"
    for text in ("endpoints = []", 'endpoints = ["nowhere"]', 'endpoints = ["a:1"]\nsilence_s = 0.1'):
        path.write_text(f'[stream]\n{text}\ntoken_file = "t"\nfolder = "f"\n')
        with pytest.raises((ValueError, msgspec.ValidationError)):
            load(str(path))


def test_head_without_a_stream_does_not_import_it() -> None:
    code = (
        "import sys\nimport hophinge.head.service\n"
        "odd = [name for name in sys.modules if name.split('.')[0] in ('grpc', 'lark', 'envoy', 'typer', 'rich',"
        " 'structlog', 'sqlite3') or name.startswith(('hophinge.control', 'hophinge.routing', 'hophinge.cli',"
        " 'hophinge.state'))]\nprint(odd)"
    )
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert result.stdout == "[]\n"
