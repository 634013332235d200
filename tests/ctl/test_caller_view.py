"""Tests of the view of a job that callers have."""

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from gooseberrydeck_ctl.__main__ import run
from gooseberrydeck_ctl.exceptions import ExitCode
from gooseberrydeck_ctl.options import ADDRESSES_VARIABLE, KEY_VARIABLE
from network_support import refused_address
from odd_values import deep, with_raw

REASON = "task a.0.0.1 crashed 3 workers since 2026-12-04T14:00:00+00:00"


class Member(BaseHTTPRequestHandler):
    """A member that knows one job, which was given up."""

    def do_GET(self) -> None:
        if self.path == "/slow/odd":
            self.send_response(200)
            self.end_headers()
            self.wfile.write(with_raw({"Extra": "RAW"}, deep(3_000)))
            return
        is_known = self.path == "/slow/a" and self.headers["Host"] == "desk.example"
        self.send_response(200 if is_known else 410)
        if is_known:
            self.send_header("X-Failure-Reason", REASON)
        self.end_headers()
        self.wfile.write(b'{"State":"failed"}' if is_known else b"{}")

    def log_message(self, *_arguments: object) -> None:
        """Log nothing."""


@pytest.fixture(autouse=True)
def member(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    with refused_address() as refused, HTTPServer(("127.0.0.1", 0), Member) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        addresses = f"{refused},127.0.0.1:{server.server_port}"
        monkeypatch.setenv(ADDRESSES_VARIABLE, addresses)
        monkeypatch.setenv(KEY_VARIABLE, "key-1")
        yield
        server.shutdown()


class TestFailure:
    def test_reason_is_shown(self, capsys: pytest.CaptureFixture[str]) -> None:
        assert run(["jobs", "failure", "desk.example", "/slow/a"]) == 0
        assert capsys.readouterr().out == f"failed: {REASON}\n"

    def test_unknown_job(self) -> None:
        arguments = ["jobs", "failure", "desk.example", "/slow/b"]
        assert run(arguments) == ExitCode.NOT_FOUND

    # Guards against a traceback in place of the command's own error.
    def test_answer_that_cannot_be_read(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        arguments = ["jobs", "failure", "desk.example", "/slow/odd"]
        assert run(arguments) == ExitCode.FAILED
        assert "the answer cannot be read" in capsys.readouterr().err
