"""Tests that a request with a used Idempotency-Key never runs again."""

from collections.abc import Callable
from concurrent.futures import Future

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from daemon_support import (
    EDITORS,
    SEAT_HOLD,
    FakeEndpoints,
    call,
    endpoint_host,
    problem,
    running_cell,
)
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.group_commit import WriteOutcome
from gooseberrydeck_coordination.ids import CellName, MemberId, RequestId, TeamName
from gooseberrydeck_coordination.keys import StoreKeys
from gooseberrydeck_coordination.store import Put, Transaction
from gooseberrydeck_daemon.dispatch import (
    DispatchError,
    NotRunError,
    OutcomeUnknownError,
    Reason,
)
from gooseberrydeck_daemon.http import ProblemError
from gooseberrydeck_daemon.idempotency import (
    IdempotencyGuard,
    KeyedRequest,
    RecordsTask,
)
from gooseberrydeck_daemon.metrics import InMemoryMetrics
from gooseberrydeck_daemon.views import StaticMembership
from gooseberrydeck_platform.endpoints import EndpointResponse
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine
from odd_values import ODD_RECORDS

NOT_RUN = NotRunError(Reason.ENDPOINT_NOT_REACHED)
UNKNOWN = OutcomeUnknownError(Reason.ENDPOINT_FAILED)


class DirectRecords(RecordsTask):
    """Commit each write on the thread that queues it."""

    def write(
        self, key: str, before: bytes | None, value: bytes | None
    ) -> Future[WriteOutcome]:
        future = super().write(key, before, value)
        self.pacer.next_at_s = 0.0
        self.run_once(0.0)
        return future


class GuardedMember:
    """A member's guard on the shared store, counting its requests."""

    def __init__(self, name: str, engine: StoreEngine, clock: ManualClock) -> None:
        member, keys = MemberId(name), StoreKeys(CellName("test"))
        self.store = EngineStore(engine, waits=False)
        self.clock = clock
        self.requests = 0
        marker = keys.request_marker(member)
        membership = StaticMembership([], member)
        metrics = InMemoryMetrics()
        self.records = DirectRecords(self.store, marker, membership, clock, metrics)
        self.guard = IdempotencyGuard(member, self.store, keys, self.records, metrics)
        self.name = name

    def use(
        self,
        key: str,
        run: Callable[[], EndpointResponse],
        body: bytes = b"seat 7",
        team: TeamName = EDITORS,
    ) -> str:
        """Use a key, and return the answer's body or the outcome of the error."""
        self.requests += 1
        self.clock.advance(2.0)
        request = KeyedRequest(
            RequestId(f"{self.name}-{self.requests}"), SEAT_HOLD, team, key, "a/b", body
        )
        try:
            return self.guard.run(request, 1.0, run).body.decode()
        except (DispatchError, ProblemError) as error:
            return error.outcome.value


class RunCounter:
    """Count runs, and end each one as specified."""

    def __init__(self) -> None:
        self.count = 0

    def ending_with(self, end: DispatchError | None) -> Callable[[], EndpointResponse]:
        def run() -> EndpointResponse:
            if isinstance(end, NotRunError):
                raise end
            self.count += 1
            if end is not None:
                raise end
            return EndpointResponse(200, "a/b", b"run %d" % self.count)

        return run


@pytest.fixture
def members() -> tuple[GuardedMember, GuardedMember]:
    clock = ManualClock()
    engine = StoreEngine(clock)
    return GuardedMember("m1", engine, clock), GuardedMember("m2", engine, clock)


class TestKeyReuse:
    @pytest.mark.parametrize(
        ("first_end", "first", "second", "count"),
        [
            (None, "run 1", "run 1", 1),
            (UNKNOWN, "unknown", "unknown", 1),
            (NOT_RUN, "not_run", "run 1", 1),
        ],
    )
    @pytest.mark.parametrize("is_other_member", [False, True])
    def test_returns_first_answer_or_unknown_outcome(
        self,
        members: tuple[GuardedMember, GuardedMember],
        first_end: DispatchError | None,
        first: str,
        second: str,
        count: int,
        is_other_member: bool,
    ) -> None:
        runs = RunCounter()
        assert members[0].use("k", runs.ending_with(first_end)) == first
        assert members[is_other_member].use("k", runs.ending_with(None)) == second
        assert runs.count == count

    def test_concurrent_use_gets_unknown_outcome(
        self, members: tuple[GuardedMember, GuardedMember]
    ) -> None:
        runs, during = RunCounter(), []

        def run() -> EndpointResponse:
            during.append(members[1].use("k", runs.ending_with(None)))
            return runs.ending_with(None)()

        assert members[0].use("k", run) == "run 1"
        assert during == ["unknown"]
        assert runs.count == 1

    def test_key_reused_with_another_body_is_not_run(
        self, members: tuple[GuardedMember, GuardedMember]
    ) -> None:
        runs = RunCounter()
        members[0].use("k", runs.ending_with(None))
        assert members[1].use("k", runs.ending_with(None), b"seat 8") == "not_run"
        assert runs.count == 1

    # Guards against a failure without an outcome: the first use may have run.
    @pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
    def test_unreadable_record_of_the_first_use_is_an_unknown_outcome(
        self, members: tuple[GuardedMember, GuardedMember], odd: bytes
    ) -> None:
        runs = RunCounter()
        members[0].use("k", runs.ending_with(None))
        store = members[0].store
        prefix = StoreKeys(CellName("test")).root
        for entry in store.read_prefix(prefix, 1.0).entries:
            if "/requests/" in entry.key:
                store.commit(Transaction((), (Put(entry.key, odd),)), 1.0)
        assert members[1].use("k", runs.ending_with(None)) == "unknown"
        assert runs.count == 1

    def test_keys_are_separate_per_team(
        self, members: tuple[GuardedMember, GuardedMember]
    ) -> None:
        runs = RunCounter()
        members[0].use("k", runs.ending_with(None))
        other = TeamName("others")
        assert members[1].use("k", runs.ending_with(None), team=other) == "run 2"

    def test_answer_too_large_to_store_gives_unknown_outcome(
        self, members: tuple[GuardedMember, GuardedMember]
    ) -> None:
        large = EndpointResponse(200, "a/b", b"x" * 100_000)
        assert members[0].use("k", lambda: large) == "x" * 100_000
        assert members[1].use("k", lambda: large) == "unknown"


class TestStoreFaults:
    @pytest.mark.parametrize(
        ("faults", "told", "count"),
        [
            ([CallFault.DOWN], "not_run", 0),
            # The lease grant, and a read and a write of the marker, precede the claim.
            (3 * [CallFault.NONE] + [CallFault.ANSWER_LOST], "run 1", 1),
            (3 * [CallFault.NONE] + [CallFault.REQUEST_LOST], "not_run", 0),
            (3 * [CallFault.NONE] + 3 * [CallFault.ANSWER_LOST], "not_run", 0),
        ],
    )
    def test_request_runs_only_with_a_confirmed_claim(
        self,
        members: tuple[GuardedMember, GuardedMember],
        faults: list[CallFault],
        told: str,
        count: int,
    ) -> None:
        runs = RunCounter()
        members[0].store.next_faults.extend(faults)
        assert members[0].use("k", runs.ending_with(None)) == told
        assert runs.count == count

    def test_late_claim_is_released(
        self, members: tuple[GuardedMember, GuardedMember]
    ) -> None:
        runs, member = RunCounter(), members[0]
        queued = RecordsTask.write
        records = member.records
        records.write = lambda *a: queued(records, *a)  # type: ignore[method-assign]
        assert member.use("k", runs.ending_with(None)) == "not_run"
        records.run_once(0.0)
        records.run_once(0.0)
        assert members[1].use("k", runs.ending_with(None)) == "run 1"


class IdempotencyKeyMachine(RuleBasedStateMachine):
    """Use keys on two members while any store call may fail."""

    @initialize()
    def set_up(self) -> None:
        clock = ManualClock()
        engine = StoreEngine(clock)
        self.members = [GuardedMember(name, engine, clock) for name in ("m1", "m2")]
        self.runs = {key: RunCounter() for key in "ab"}

    @rule(
        member_index=st.integers(0, 1),
        key=st.sampled_from("ab"),
        end=st.sampled_from([None, NOT_RUN, UNKNOWN]),
        faults=st.lists(st.sampled_from(list(CallFault)), max_size=8),
    )
    def use(
        self,
        member_index: int,
        key: str,
        end: DispatchError | None,
        faults: list[CallFault],
    ) -> None:
        member = self.members[member_index]
        member.store.next_faults.extend(faults)
        told = member.use(key, self.runs[key].ending_with(end))
        assert told in ("run 1", "not_run", "unknown")
        member.store.next_faults.clear()

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert all(runs.count <= 1 for runs in getattr(self, "runs", {}).values())


class TestIdempotencyKeyMachine:
    def test_no_key_runs_twice_under_store_faults(self) -> None:
        run_state_machine_as_test(  # type: ignore[no-untyped-call]
            IdempotencyKeyMachine,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=150,
                stateful_step_count=12,
            ),
        )


class TestHeader:
    @pytest.mark.parametrize("key", ["", "a b", "x" * 256, "\u00e9"])
    def test_invalid_key_is_refused(self, key: str) -> None:
        endpoints = FakeEndpoints()
        with running_cell([endpoint_host("e1", SEAT_HOLD)], endpoints) as cell:
            answer = call(cell["m1"], "seat-hold", Idempotency_Key=key)
        assert problem(answer) == (400, "bad-idempotency-key", "not_run")
        assert not endpoints.runs

    def test_idempotent_services_need_no_claim(self) -> None:
        with running_cell([endpoint_host("e1")], FakeEndpoints()) as cell:
            assert call(cell["m1"], Idempotency_Key="k")[0] == 200
