"""Tests of requests to members that run as separate processes."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from gooseberrydeck_platform.http import HttpResponse
from gooseberrydeck_standins.local_cell import LocalCell, MemberProcess
from processes_support import CONFIGURATION, HEADERS, PATH, SERVICE

RETRY_TIMEOUT_S = 20.0


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[LocalCell]:
    with LocalCell(tmp_path) as cell:
        yield cell


def call_until_run(member: MemberProcess, body: bytes) -> HttpResponse:
    """Retry a request, as callers do, while the response says that it was not run."""
    deadline_s = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        response = member.call("POST", PATH, body, HEADERS)
        is_not_run = response.status == 503 and b'"not_run"' in response.body
        if not is_not_run or time.monotonic() > deadline_s:
            return response
        time.sleep(0.05)


class TestRequestRouting:
    def test_every_member_answers_whichever_owns_the_endpoint(
        self, cell: LocalCell
    ) -> None:
        cell.add_endpoints(SERVICE, 1)
        cell.plan_members("m1", "m2")
        first, second = cell.add_member("m1"), cell.add_member("m2")
        cell.wait_ready()
        cell.publish(CONFIGURATION)
        for index, member in enumerate((first, second)):
            body = b"claim %d" % index
            response = call_until_run(member, body)
            assert (response.status, response.body) == (200, body)
        requests = cell.requests_run()
        assert len(set(requests)) == len(requests) == 2
