"""Tests of the view of teams' shares."""

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest

from gooseberrydeck_ctl.__main__ import run
from gooseberrydeck_ctl.exceptions import ExitCode
from network_support import refused_address

TEAMS = (
    b'[{"team":"editors","share":2.0,"use":0.25,"weighted_use":1.5,'
    b'"waiting_within":1,"waiting_beyond":4}]'
)


class Member(BaseHTTPRequestHandler):
    """A member with an answer to the question for teams."""

    status, answer = 200, TEAMS

    def do_GET(self) -> None:
        self.send_response(self.status if self.path == "/teams" else 404)
        self.end_headers()
        self.wfile.write(self.answer)

    def log_message(self, *_arguments: object) -> None:
        """Log nothing."""


class Standby(Member):
    """A member that doesn't hold the shard."""

    status, answer = 503, b"null"


class Odd(Member):
    """A member whose answer can't be read."""

    answer = b"[{}]"


@pytest.fixture
def address(request: pytest.FixtureRequest) -> Iterator[str]:
    with HTTPServer(("127.0.0.1", 0), request.param) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"127.0.0.1:{server.server_port}"
        server.shutdown()


class TestTeams:
    """Guards against a view that stops at a member that doesn't hold the shard."""

    @pytest.mark.parametrize("address", [Member], indirect=True)
    def test_holder_is_found(
        self, address: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with refused_address() as refused:
            assert run(["report", "teams", str(refused), address]) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].split()[:2] == ["team", "share"]
        assert lines[1].split() == ["editors", "2", "0.25", "1.5", "1", "4"]

    @pytest.mark.parametrize("address", [Standby], indirect=True)
    def test_no_member_holds_the_shard(self, address: str) -> None:
        assert run(["report", "teams", address]) == ExitCode.UNREACHABLE

    @pytest.mark.parametrize("address", [Odd], indirect=True)
    def test_answer_that_cannot_be_read(
        self, address: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(["report", "teams", address]) == 1
        assert "cannot be read" in capsys.readouterr().err
