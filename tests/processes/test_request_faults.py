"""Tests of requests while processes are killed, paused and replaced."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from cell_traffic import Outcome, Traffic, runs_by_tag
from gooseberrydeck_standins.local_cell import LocalCell
from gooseberrydeck_standins.processes import wait_for
from processes_support import CONFIGURATION, HEADERS, PATH, SERVICE

MEMBERS = ("m1", "m2", "m3")
WARM_ANSWERS = 50


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[LocalCell]:
    with LocalCell(tmp_path) as cell:
        for prefix in ("a", "b"):
            cell.add_endpoints(SERVICE, 4, "--prefix", prefix)
        cell.plan_members(*MEMBERS, "m4", "m5", "m6")
        for name in MEMBERS:
            cell.add_member(name)
        cell.wait_ready()
        cell.publish(CONFIGURATION)
        yield cell


def kill_member(cell: LocalCell) -> None:
    cell.members["m1"].kill()


def pause_member(cell: LocalCell) -> None:
    cell.members["m1"].pause()
    time.sleep(3)
    cell.members["m1"].resume()


def pause_endpoints(cell: LocalCell) -> None:
    cell.endpoints[0].pause()
    time.sleep(1)
    cell.endpoints[0].resume()


FAULTS: dict[str, Callable[[LocalCell], None]] = {
    "kill -9 of a member": kill_member,
    "a paused member": pause_member,
    "paused endpoints": pause_endpoints,
}


class TestOutcomes:
    @pytest.mark.parametrize("case", FAULTS)
    def test_reported_outcomes_match_the_runs(self, cell: LocalCell, case: str) -> None:
        with Traffic(cell, PATH, HEADERS) as traffic:
            wait_for(lambda: traffic.counts().total() > WARM_ANSWERS, "traffic")
            FAULTS[case](cell)
            after_s = time.monotonic()
            wait_for(
                lambda: traffic.answered_since(after_s) > WARM_ANSWERS,
                f"requests are answered again ({case})",
            )
        assert traffic.outcome_mismatches(runs_by_tag(cell)) == []


class TestPlannedStops:
    def test_replacing_every_member_cuts_no_request(self, cell: LocalCell) -> None:
        with Traffic(cell, PATH, HEADERS) as traffic:
            for old, new in zip(MEMBERS, ("m4", "m5", "m6"), strict=True):
                wait_for(lambda: traffic.counts().total() > WARM_ANSWERS, "traffic")
                member = cell.add_member(new)
                wait_for(member.is_ready, f"{new} is ready")
                cell.members[old].terminate()
                assert cell.members[old].wait() == 0
        bad = [each for each in traffic.sent if each.outcome is not Outcome.ANSWERED]
        assert [each for each in bad if each.outcome is not Outcome.NOT_SENT] == []
        assert traffic.outcome_mismatches(runs_by_tag(cell)) == []
