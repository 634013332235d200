import msgspec
import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import StoreUnavailableError
from gooseberrydeck_coordination.ids import CellName, MemberId, ServiceName
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.reports import BurnAccumulator, BurnSnapshot
from gooseberrydeck_daemon.reports.snapshots import (
    BURN,
    MAX_SNAPSHOT_AGE_S,
    ReportWriter,
    SnapshotReader,
)
from gooseberrydeck_standins.engine_store import CallFault, EngineStore
from gooseberrydeck_standins.store_engine import PutKey, StoreEngine
from odd_values import ODD_RECORDS

KEYS = StoreKeys(CellName("test"))
CLAIM_CHECK = ServiceName("claim-check")


class Cell:
    """A store that report writers of several members share."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000_000.0)
        self.engine = StoreEngine(self.clock)

    def start_writer(self, name: str, failed: int = 0) -> ReportWriter:
        """Return the writer of a newly started member that has counted failures."""
        burn = BurnAccumulator(self.clock)
        for _ in range(failed):
            burn.record(CLAIM_CHECK, None, 1.0, False, 50.0)
        store = EngineStore(self.engine, waits=False)
        member = MemberId(name)
        return ReportWriter(
            store, KEYS, member, burn, None, self.clock, InMemoryMetrics()
        )

    def read_failed(self) -> list[int]:
        """Return the number of failures in each stored snapshot."""
        reader = SnapshotReader(EngineStore(self.engine), KEYS, MemberId("reader"))
        snapshots = reader.read(BURN, BurnSnapshot)
        levels = [s.services[CLAIM_CHECK].series.levels["3d"] for s in snapshots]
        return [level.total().counts.failed for level in levels]


@pytest.fixture
def cell() -> Cell:
    return Cell()


class TestReportWriter:
    def test_restarted_member_adds_to_its_snapshot(self, cell: Cell) -> None:
        for _ in range(3):
            writer = cell.start_writer("m1", failed=2)
            writer.restore()
            writer.restore()
            writer.save()
        assert cell.read_failed() == [6]

    def test_nothing_is_written_before_the_previous_snapshot_was_read(
        self, cell: Cell
    ) -> None:
        first = cell.start_writer("m1", failed=5)
        first.restore()
        first.save()
        second = cell.start_writer("m1", failed=1)
        assert isinstance(second.store, EngineStore)
        second.store.fault = CallFault.DOWN
        second.call_store(second.restore)
        second.store.fault = CallFault.NONE
        second.save()
        assert cell.read_failed() == [5]
        second.restore()
        second.save()
        assert cell.read_failed() == [6]

    def test_outdated_snapshots_of_removed_members_are_deleted(
        self, cell: Cell
    ) -> None:
        gone = cell.start_writer("m1", failed=1)
        gone.restore()
        gone.save()
        cell.clock.advance(MAX_SNAPSHOT_AGE_S + 1)
        other = cell.start_writer("m2", failed=1)
        other.restore()
        other.save()
        other.delete_expired()
        found = EngineStore(cell.engine).read_prefix(KEYS.reports_prefix, 1.0)
        assert [entry.key for entry in found.entries] == [
            KEYS.report(other.member, BURN)
        ]

    def test_undecodable_snapshot_is_skipped(self, cell: Cell) -> None:
        writer = cell.start_writer("m1", failed=1)
        writer.restore()
        writer.save()
        key = KEYS.report(MemberId("m2"), BURN).encode()
        cell.engine.transact([], [PutKey(key, b"{")])
        assert cell.read_failed() == [1]

    # Guards against a report, and a report writer, that end by the parser's error.
    @pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
    def test_odd_snapshots_are_left_out(self, cell: Cell, odd: bytes) -> None:
        writer = cell.start_writer("m1", failed=1)
        for member in ("m1", "m2"):
            key = KEYS.report(MemberId(member), BURN).encode()
            cell.engine.transact([], [PutKey(key, odd)])
        writer.restore()
        writer.save()
        writer.delete_expired()
        assert cell.read_failed() == [1]

    # Guards against a report that ends by the error of the histograms' codec.
    @pytest.mark.parametrize(
        "odd", ["", "x", "AAAA", "A" * 1_000, "HISTFAAAACJ42pNpmSzMwMDAxAAB", "\u00e9"]
    )
    def test_odd_histogram_is_left_out(self, cell: Cell, odd: str) -> None:
        first = cell.start_writer("m1", failed=2)
        first.restore()
        first.burn.record(CLAIM_CHECK, None, 1.0, True, 50.0)
        first.save()
        key = KEYS.report(MemberId("m1"), BURN)
        entry = EngineStore(cell.engine).read(key, 1.0)
        assert entry is not None
        snapshot = msgspec.json.decode(entry.value, type=BurnSnapshot)
        (hour,) = snapshot.services[CLAIM_CHECK].waits
        snapshot.services[CLAIM_CHECK].waits[hour] = odd
        cell.engine.transact([], [PutKey(key.encode(), msgspec.json.encode(snapshot))])
        second = cell.start_writer("m1")
        second.restore()
        second.save()
        assert cell.read_failed() == [2]

    def test_reader_raises_if_the_store_is_unavailable(self, cell: Cell) -> None:
        store = EngineStore(cell.engine)
        store.fault = CallFault.DOWN
        with pytest.raises(StoreUnavailableError):
            SnapshotReader(store, KEYS, MemberId("m1")).read(BURN, BurnSnapshot)

    def test_snapshot_is_json(self, cell: Cell) -> None:
        writer = cell.start_writer("m1", failed=1)
        writer.restore()
        writer.save()
        entry = EngineStore(cell.engine).read(KEYS.report(writer.member, BURN), 1.0)
        assert entry is not None
        assert msgspec.json.decode(entry.value)["taken_s"] == cell.clock.wall()
