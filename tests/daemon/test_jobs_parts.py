"""Tests of how jobs use limits, usage summaries and the configuration."""

from gooseberrydeck_configuration.objects import (
    Configuration,
    Limit,
    Queue,
    QueuePolicy,
    Share,
)
from gooseberrydeck_coordination.ids import (
    ConfigurationNumber,
    QueueName,
    Revision,
    TeamName,
)
from gooseberrydeck_coordination.slices import SliceLedger
from gooseberrydeck_coordination.slices.ledger import StoredSlices
from gooseberrydeck_coordination.slices.records import SliceRecord, TeamLimit
from gooseberrydeck_daemon.jobs.configured import ConfiguredRules
from gooseberrydeck_daemon.jobs.summaries import summarize
from gooseberrydeck_daemon.jobs.units import SliceUnits
from gooseberrydeck_daemon.limits import TeamAdmission
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.views import ConfigurationHolder
from jobs_support import CAPACITY, SHARD, Owner, Platform
from scheduling_support import cores, record

PRESS = TeamName("press")
NUMBER = ConfigurationNumber(1)


def make_units(limit: int) -> SliceUnits:
    """Return units backed by a ledger in which the shard has the full limit."""
    ledger = SliceLedger()
    ledger.set_limits(NUMBER, [TeamLimit(PRESS, limit, NUMBER)])
    ledger.confirm(NUMBER)
    slices = SliceRecord(PRESS, limit, NUMBER, {SHARD: limit})
    ledger.observe(StoredSlices(slices, Revision(1)))
    admission = TeamAdmission(ledger, InMemoryMetrics())
    return SliceUnits(SHARD, admission, lambda: (PRESS,))


class TestSliceUnits:
    def test_requests_and_tasks_share_a_slice(self) -> None:
        units = make_units(2)
        units.admission.ledger.add_shard(SHARD, Revision(1), {})
        assert units.admission.try_admit(PRESS, SHARD)
        assert units.allowances() == {PRESS: 1}
        assert units.admit(PRESS)
        assert not units.admit(PRESS)
        units.reconcile({PRESS: 0}, {})
        assert units.allowances() == {PRESS: 1}

    def test_unconfirmed_tasks_are_counted(self) -> None:
        units = make_units(3)
        units.admission.ledger.add_shard(SHARD, Revision(1), {})
        units.reconcile({PRESS: 1}, {PRESS: 1})
        assert units.admission.try_admit(PRESS, SHARD)
        assert not units.admission.try_admit(PRESS, SHARD)

    def test_no_units_are_available_before_the_ledger_has_the_shard(self) -> None:
        units = make_units(3)
        units.reconcile({PRESS: 2}, {})
        assert units.allowances() == {}
        units.admission.ledger.add_shard(SHARD, Revision(1), {})
        units.reconcile({PRESS: 2}, {})
        assert units.admission.ledger.idle_units(PRESS, SHARD) == 1


class TestSummaries:
    def test_reports_usage_free_capacity_and_waiting_tasks(self) -> None:
        platform = Platform(hosts=1)
        platform.submit(record("big", tasks=2, resources=cores(3), payload=b"{}"))
        owner = Owner(platform)
        owner.take_over()
        for _ in range(2):
            owner.step(0.1)
        summary = summarize(owner.jobs, 1)
        assert summary.capacity.unpack() == CAPACITY
        assert summary.free.unpack() == summary.largest_hole.unpack() == cores(1)
        assert summary.waiting == 1
        assert summary.teams[PRESS].unpack() == cores(3)


class TestConfiguredRules:
    def test_returns_the_rules_of_the_newest_configuration(self) -> None:
        holder = ConfigurationHolder()
        rules = ConfiguredRules(holder)
        assert rules() is rules()
        holder.offer(
            Configuration(
                NUMBER,
                shares=(Share(PRESS, 2.0),),
                limits=(Limit(PRESS, 7),),
                queues=(Queue(QueueName("plans"), QueuePolicy.BATCH, max_attempts=5),),
            )
        )
        queue = rules().queue(QueueName("plans"))
        assert queue is not None
        assert queue.max_attempts == 5
        assert (rules().weights, rules().limits) == ({PRESS: 2.0}, {PRESS: 7})
