"""Tests of the metrics and log fields about learned durations."""

import json
from pathlib import Path

import structlog

from fleet_support import TEAM, URGENT, Fleet, task_resources
from gooseberrydeck_ctl.__main__ import run
from gooseberrydeck_ctl.duration_view import read_durations
from gooseberrydeck_fleet.commands import StartRun
from gooseberrydeck_fleet.duration_learner import DurationLearner
from gooseberrydeck_fleet.settings import DurationUses
from gooseberrydeck_fleet.work import StepSpec
from gooseberrydeck_member.duration_reports import DurationReporter
from gooseberrydeck_member.known_ends import KnownEnds
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.run_audit import RunAudit

STEP = StepSpec(1, task_resources(), estimate_s=1.0)


def teach(learner: DurationLearner, seconds: float) -> None:
    for _ in range(20):
        expected = learner.expect(URGENT, TEAM, 0, STEP)
        learner.learn(URGENT, TEAM, 0, STEP, expected, seconds, 0.0, 0.0)
        learner.refresh({}, 0.0)


class TestDurationReporter:
    def value(self, name: str, **labels: str) -> float | None:
        return self.metrics.registry.get_sample_value(name, labels)

    def test_errors_and_summaries_are_shown_until_the_shard_is_lost(self) -> None:
        self.metrics = Metrics()
        learner = DurationLearner(DurationUses.all())
        teach(learner, 4.0)
        teach(learner, -1.0)
        reporter = DurationReporter(learner, self.metrics)
        reporter.report(0.0)
        reporter.report(1.0)
        ratio = "gooseberrydeck_duration_ratio_bucket"
        below = {
            of: self.value(ratio, queue="urgent", of=of, le="1.25")
            for of in ("learned", "estimate")
        }
        assert below["learned"]
        assert below["estimate"] == 0
        refused = "gooseberrydeck_durations_refused_total"
        assert self.value(refused, reason="clock_step") == 20
        seconds = "gooseberrydeck_duration_seconds"
        typical_s = self.value(seconds, queue="urgent", step="0", quantile="0.5")
        assert typical_s is not None
        assert 3.5 < typical_s < 4.5
        teams = "gooseberrydeck_duration_teams"
        assert self.value(teams, queue="urgent", use="learned") == 1
        # Guards against the summaries of a former holder beside those of its successor.
        reporter.close()
        assert self.value(teams, queue="urgent", use="learned") is None

    # Guards against a line that gooseberryctl can't read, and one in each pass.
    def test_line_of_a_queue_is_shown_by_gooseberryctl(self, tmp_path: Path) -> None:
        learner = DurationLearner(DurationUses.all())
        teach(learner, 4.0)
        reporter = DurationReporter(learner, Metrics())
        with structlog.testing.capture_logs() as lines:
            for second in range(100):
                reporter.report(float(second))
        (line,) = lines
        path = tmp_path / "m1.log"
        entry = {**line, "member": "m1", "timestamp": "2026-12-06T06:00:00Z"}
        older = {**entry, "steps": [], "timestamp": "2026-12-06T05:00:00Z"}
        texts = [json.dumps(each) for each in (entry, older)]
        path.write_text("\n".join([*texts, '{"event":"durations learned"}']))
        view = read_durations([path])
        (row,) = view.rows
        assert (row.queue, row.step, row.member) == ("urgent", 0, "m1")
        assert 3.5 < row.typical_s < 4.5
        assert row.teams_by_learned == 1
        assert view.unreadable == 1
        assert run(["logs", "durations", "--queue", "urgent", str(path)]) == 0
        assert read_durations([path], "other").rows == []

    def test_nothing_is_reported_without_a_use(self) -> None:
        self.metrics = Metrics()
        before = self.metrics.render()
        DurationReporter(DurationLearner(), self.metrics).report(0.0)
        assert self.metrics.render() == before


class TestStartLine:
    def describe(self, uses: DurationUses) -> dict[str, object]:
        fleet = Fleet(workers=1, uses=uses)
        if uses.is_any:
            teach(fleet.scheduler.ledger.durations, 4.0)
        fleet.submit("a", STEP, queue_name=URGENT)
        scheduler = fleet.scheduler
        commands = scheduler.decide(fleet.now_s, fleet.clock.wall())
        command = next(each for each in commands if isinstance(each, StartRun))
        audit = RunAudit(scheduler, KnownEnds(), Metrics(), fleet.clock)
        return audit.describe_expectation(command)

    def test_expectation_is_logged_with_its_source(self) -> None:
        fields = self.describe(DurationUses.all())
        assert fields["expected_from"] == "team"
        assert fields["is_expectation_used"]
        assert 3.5 < float(str(fields["expected_s"])) < 4.5

    def test_nothing_is_added_to_the_line_without_a_use(self) -> None:
        assert self.describe(DurationUses()) == {}
