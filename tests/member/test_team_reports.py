"""Tests of the metrics by team while one team exceeds its share."""

from unittest.mock import Mock

import msgspec
import pytest

from fleet_support import TEAM, URGENT, Fleet, make_configuration, task_resources
from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_fleet.team_views import TeamView
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_server import PeerApplication
from gooseberrydeck_member.team_reports import REPORT_INTERVAL_S, TeamReporter

OTHERS = TeamName("others")
WHOLE = task_resources(cores=32.0)


class TestTeamReporter:
    """Guards against metrics that are missing, wrong, or of a former team or holder."""

    def setup_method(self) -> None:
        self.fleet = Fleet(workers=1)
        self.set_shares({TEAM: 2.0, OTHERS: 2.0})
        self.metrics = Metrics()
        self.reporter = TeamReporter(self.fleet.scheduler, self.metrics)
        for number in range(6):
            step = StepSpec(1, WHOLE, estimate_s=60.0)
            self.fleet.submit(f"j{number}", step, queue_name=URGENT, seconds=60.0)
        self.fleet.run_for(0.2)

    def set_shares(self, shares: dict[TeamName, float]) -> None:
        self.fleet.scheduler.set_configuration(make_configuration(shares=shares))

    def report(self) -> str:
        self.reporter.next_s = 0.0
        self.reporter.report(self.fleet.now_s)
        return self.metrics.render().decode()

    def test_share_use_and_waiting_jobs(self) -> None:
        text = self.report()
        assert 'gooseberrydeck_team_share{team="editors"} 2.0\n' in text
        assert 'waiting_jobs{share="within",team="editors"} 1.0\n' in text
        assert 'waiting_jobs{share="beyond",team="editors"} 4.0\n' in text
        assert 'waiting_jobs{share="beyond",team="others"} 0.0\n' in text
        views = {view.team: view for view in self.reporter.views}
        assert views[TEAM].use > 0.4
        assert views[TEAM].weighted_use == 2 * views[TEAM].use
        assert views[OTHERS] == TeamView(OTHERS, 2.0, 0.0, 0.0, 0, 0)

    def test_metrics_are_updated_at_intervals(self) -> None:
        self.report()
        before = self.reporter.views
        self.reporter.report(self.fleet.now_s + REPORT_INTERVAL_S - 0.1)
        assert self.reporter.views is before
        self.reporter.report(self.fleet.now_s + REPORT_INTERVAL_S + 0.1)
        assert self.reporter.views is not before

    def test_team_that_is_no_longer_configured_is_removed(self) -> None:
        assert "others" in self.report()
        self.set_shares({TEAM: 2.0})
        assert "others" not in self.report()

    def test_metrics_are_removed_when_the_shard_is_lost(self) -> None:
        self.report()
        self.reporter.clear()
        assert "editors" not in self.metrics.render().decode()

    @pytest.mark.parametrize("is_holder", [True, False])
    def test_only_the_holder_answers_the_question_for_teams(
        self, is_holder: bool
    ) -> None:
        self.report()
        cell = Mock(scheduler=None)
        if is_holder:
            cell.scheduler = Mock(teams=self.reporter)
            cell.scheduler.stopping.is_set.return_value = False
        peer = PeerApplication(cell, Mock(), None, self.metrics, "run")
        start_response = Mock()
        environ = {"PATH_INFO": "/teams"}
        content = b"".join(peer(environ, start_response))
        status = start_response.call_args.args[0]
        assert status.startswith("200" if is_holder else "503")
        answer = msgspec.json.decode(content, type=tuple[TeamView, ...] | None)
        assert answer == (self.reporter.views if is_holder else None)
