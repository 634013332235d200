import msgspec
import pytest

from gooseberrydeck_configuration import Configuration, Service
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.ids import ServiceName, TeamName
from gooseberrydeck_daemon.reports import (
    BurnAccumulator,
    BurnSnapshot,
    burn_report,
    merge_snapshots,
)
from gooseberrydeck_daemon.reports.windows import (
    MAX_TEAMS_IN_BUCKET,
    OTHER_TEAMS,
    Level,
)

CLAIM_CHECK = ServiceName("claim-check")
RADIO = TeamName("radio")
PRINT = TeamName("print")
OBJECTIVE_MS = 50
CONFIGURATION = Configuration(
    services=(
        Service(CLAIM_CHECK, objective_wait_ms=OBJECTIVE_MS, objective_share=0.99),
    )
)
MAX_SNAPSHOT_BYTES = 64_000


def record(
    accumulator: BurnAccumulator,
    count: int,
    wait_ms: float = 1.0,
    succeeded: bool = True,
    team: TeamName = RADIO,
) -> None:
    for _ in range(count):
        accumulator.record(CLAIM_CHECK, team, wait_ms, succeeded, OBJECTIVE_MS)


def round_trip(snapshot: BurnSnapshot) -> BurnSnapshot:
    """Return the snapshot after encoding and decoding it as the store does."""
    data = msgspec.json.encode(snapshot)
    return msgspec.json.decode(data, type=BurnSnapshot)


class TestBurnReport:
    @pytest.mark.parametrize(
        ("good", "late", "failed", "burn"),
        [(0, 0, 0, 0.0), (99, 1, 0, 1.0), (98, 1, 1, 2.0), (0, 0, 5, 100.0)],
    )
    def test_burn_rate_is_one_when_the_budget_is_exactly_used_up(
        self, good: int, late: int, failed: int, burn: float
    ) -> None:
        accumulator = BurnAccumulator(ManualClock())
        record(accumulator, good)
        record(accumulator, late, wait_ms=OBJECTIVE_MS)
        record(accumulator, failed, succeeded=False)
        report = burn_report(accumulator.snapshot(), CONFIGURATION, 1, True)
        (service,) = report.services
        assert [w.window for w in service.windows] == ["5m", "1h", "6h", "3d"]
        for window in service.windows:
            assert window.burn == pytest.approx(burn)
            assert (window.good, window.late, window.failed) == (good, late, failed)
        assert service.budget_left == pytest.approx(1 - burn)

    def test_bad_requests_leave_each_window_when_it_has_passed(self) -> None:
        clock = ManualClock(1_000_000.0)
        accumulator = BurnAccumulator(clock)
        record(accumulator, 10, succeeded=False)
        accumulator.fold()
        seen = []
        for step_s in (0, 400, 4_000, 22_000, 270_000):
            clock.advance(step_s)
            (service,) = burn_report(
                accumulator.snapshot(), CONFIGURATION, 1, True
            ).services
            seen.append([window.failed for window in service.windows])
        assert seen == [
            [10, 10, 10, 10],
            [0, 10, 10, 10],
            [0, 0, 10, 10],
            [0, 0, 0, 10],
            [0, 0, 0, 0],
        ]
        assert not accumulator.series

    def test_teams_are_listed_by_their_share_of_the_bad_requests(self) -> None:
        accumulator = BurnAccumulator(ManualClock())
        record(accumulator, 1, wait_ms=60.0, team=PRINT)
        record(accumulator, 3, succeeded=False)
        record(accumulator, 100, team=PRINT)
        (service,) = burn_report(
            accumulator.snapshot(), CONFIGURATION, 1, True
        ).services
        found = [(c.team, c.late, c.failed, c.share) for c in service.culprits]
        assert found == [("radio", 0, 3, 0.75), ("print", 1, 0, 0.25)]

    def test_waiting_times_are_reported_by_percentile(self) -> None:
        accumulator = BurnAccumulator(ManualClock())
        for wait_ms in range(1, 101):
            record(accumulator, 1, wait_ms=wait_ms)
        (service,) = burn_report(
            accumulator.snapshot(), CONFIGURATION, 1, True
        ).services
        assert service.wait_ms["p50"] == 50
        assert service.wait_ms["p99"] == 99


class TestSnapshots:
    def test_counts_of_every_member_are_merged(self) -> None:
        clock = ManualClock()
        snapshots = []
        for _ in range(3):
            accumulator = BurnAccumulator(clock)
            record(accumulator, 10)
            record(accumulator, 2, succeeded=False)
            snapshots.append(round_trip(accumulator.snapshot()))
        merged = merge_snapshots(snapshots, clock.wall())
        (service,) = burn_report(merged, CONFIGURATION, 3, True).services
        assert {(w.good, w.failed) for w in service.windows} == {(30, 6)}
        assert service.wait_ms["p50"] == 1

    def test_restored_snapshot_keeps_earlier_counts(self) -> None:
        clock = ManualClock()
        before = BurnAccumulator(clock)
        record(before, 5, succeeded=False)
        stored = round_trip(before.snapshot())
        after = BurnAccumulator(clock)
        after.restore(stored)
        record(after, 1, succeeded=False)
        (service,) = burn_report(after.snapshot(), CONFIGURATION, 1, True).services
        assert service.windows[-1].failed == 6

    def test_snapshot_is_bounded(self) -> None:
        clock = ManualClock(1_000_000.0)
        accumulator = BurnAccumulator(clock)
        teams = [TeamName(f"team-{number}") for number in range(60)]
        for _ in range(2 * Level.THREE_DAYS.window_s // 600):
            for team in teams:
                record(accumulator, 1, succeeded=False, team=team)
            accumulator.fold()
            clock.advance(600)
        snapshot = accumulator.snapshot()
        assert len(msgspec.json.encode(snapshot)) < MAX_SNAPSHOT_BYTES
        bucket = next(
            iter(
                snapshot.services[CLAIM_CHECK].series.level(Level.HOUR).buckets.values()
            )
        )
        assert len(bucket.bad_by_team) == MAX_TEAMS_IN_BUCKET + 1
        assert bucket.bad_by_team[OTHER_TEAMS].failed == 60 - MAX_TEAMS_IN_BUCKET

    def test_buckets_are_dropped_after_the_clock_was_set_back(self) -> None:
        clock = ManualClock(1_000_000.0)
        accumulator = BurnAccumulator(clock)
        record(accumulator, 1, succeeded=False)
        accumulator.fold()
        clock.now_s = 500_000.0
        accumulator.fold()
        assert not accumulator.series
