"""A second use of an Idempotency-Key never runs its request again."""

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

NOT_RUN = NotRunError(Reason.ENDPOINT_NOT_REACHED)
UNKNOWN = OutcomeUnknownError(Reason.ENDPOINT_FAILED)


class DirectRecords(RecordsTask):
    """Commit each write in the thread that queues it."""

    def write(
        self, key: str, before: bytes | None, value: bytes | None
    ) -> Future[WriteOutcome]:
        future = super().write(key, before, value)
        self.pacer.next_at_s = 0.0
        self.run_once(0.0)
        return future


class Entrance:
    """One member's guard over the shared store, and what was run through it."""

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
        """Use a key, and return the answer's body or what is told instead."""
        self.requests += 1
        self.clock.advance(2.0)
        request = KeyedRequest(
            RequestId(f"{self.name}-{self.requests}"), SEAT_HOLD, team, key, "a/b", body
        )
        try:
            return self.guard.run(request, 1.0, run).body.decode()
        except (DispatchError, ProblemError) as error:
            return error.outcome.value


class Runs:
    """Count runs, and end each as told."""

    def __init__(self) -> None:
        self.count = 0

    def ending(self, end: DispatchError | None) -> Callable[[], EndpointResponse]:
        def run() -> EndpointResponse:
            if isinstance(end, NotRunError):
                raise end
            self.count += 1
            if end is not None:
                raise end
            return EndpointResponse(200, "a/b", b"run %d" % self.count)

        return run


@pytest.fixture
def entrances() -> tuple[Entrance, Entrance]:
    clock = ManualClock()
    engine = StoreEngine(clock)
    return Entrance("m1", engine, clock), Entrance("m2", engine, clock)


class TestSecondUse:
    @pytest.mark.parametrize(
        ("first_end", "first", "second", "count"),
        [
            (None, "run 1", "run 1", 1),
            (UNKNOWN, "unknown", "unknown", 1),
            (NOT_RUN, "not_run", "run 1", 1),
        ],
    )
    @pytest.mark.parametrize("is_other_member", [False, True])
    def test_gets_the_first_answer_or_unknown(
        self,
        entrances: tuple[Entrance, Entrance],
        first_end: DispatchError | None,
        first: str,
        second: str,
        count: int,
        is_other_member: bool,
    ) -> None:
        runs = Runs()
        assert entrances[0].use("k", runs.ending(first_end)) == first
        assert entrances[is_other_member].use("k", runs.ending(None)) == second
        assert runs.count == count

    def test_while_the_first_runs_is_told_as_unknown(
        self, entrances: tuple[Entrance, Entrance]
    ) -> None:
        runs, during = Runs(), []

        def run() -> EndpointResponse:
            during.append(entrances[1].use("k", runs.ending(None)))
            return runs.ending(None)()

        assert entrances[0].use("k", run) == "run 1"
        assert during == ["unknown"]
        assert runs.count == 1

    def test_with_another_body_is_not_run(
        self, entrances: tuple[Entrance, Entrance]
    ) -> None:
        runs = Runs()
        entrances[0].use("k", runs.ending(None))
        assert entrances[1].use("k", runs.ending(None), b"seat 8") == "not_run"
        assert runs.count == 1

    def test_teams_share_no_keys(self, entrances: tuple[Entrance, Entrance]) -> None:
        runs = Runs()
        entrances[0].use("k", runs.ending(None))
        other = TeamName("others")
        assert entrances[1].use("k", runs.ending(None), team=other) == "run 2"

    def test_an_answer_too_large_to_keep_is_told_as_unknown(
        self, entrances: tuple[Entrance, Entrance]
    ) -> None:
        large = EndpointResponse(200, "a/b", b"x" * 100_000)
        assert entrances[0].use("k", lambda: large) == "x" * 100_000
        assert entrances[1].use("k", lambda: large) == "unknown"


class TestStoreFaults:
    @pytest.mark.parametrize(
        ("faults", "told", "count"),
        [
            ([CallFault.DOWN], "not_run", 0),
            # The lease, the marker's read and write come before the claim.
            (3 * [CallFault.NONE] + [CallFault.ANSWER_LOST], "run 1", 1),
            (3 * [CallFault.NONE] + [CallFault.REQUEST_LOST], "not_run", 0),
            (3 * [CallFault.NONE] + 3 * [CallFault.ANSWER_LOST], "not_run", 0),
        ],
    )
    def test_a_claim_that_is_not_certain_runs_nothing(
        self,
        entrances: tuple[Entrance, Entrance],
        faults: list[CallFault],
        told: str,
        count: int,
    ) -> None:
        runs = Runs()
        entrances[0].store.next_faults.extend(faults)
        assert entrances[0].use("k", runs.ending(None)) == told
        assert runs.count == count

    def test_a_claim_that_comes_too_late_is_freed(
        self, entrances: tuple[Entrance, Entrance]
    ) -> None:
        runs, entrance = Runs(), entrances[0]
        queued = RecordsTask.write
        records = entrance.records
        records.write = lambda *a: queued(records, *a)  # type: ignore[method-assign]
        assert entrance.use("k", runs.ending(None)) == "not_run"
        records.run_once(0.0)
        records.run_once(0.0)
        assert entrances[1].use("k", runs.ending(None)) == "run 1"


class KeyMachine(RuleBasedStateMachine):
    """Use keys at two members over a store that fails at any call."""

    @initialize()
    def begin(self) -> None:
        clock = ManualClock()
        engine = StoreEngine(clock)
        self.entrances = [Entrance(name, engine, clock) for name in ("m1", "m2")]
        self.runs = {key: Runs() for key in "ab"}

    @rule(
        where=st.integers(0, 1),
        key=st.sampled_from("ab"),
        end=st.sampled_from([None, NOT_RUN, UNKNOWN]),
        faults=st.lists(st.sampled_from(list(CallFault)), max_size=8),
    )
    def use(
        self, where: int, key: str, end: DispatchError | None, faults: list[CallFault]
    ) -> None:
        entrance = self.entrances[where]
        entrance.store.next_faults.extend(faults)
        told = entrance.use(key, self.runs[key].ending(end))
        assert told in ("run 1", "not_run", "unknown")
        entrance.store.next_faults.clear()

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert all(runs.count <= 1 for runs in getattr(self, "runs", {}).values())


class TestKeyMachine:
    def test_no_sequence_of_faults_runs_a_key_twice(self) -> None:
        run_state_machine_as_test(  # type: ignore[no-untyped-call]
            KeyMachine,
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
    def test_a_bad_key_is_refused(self, key: str) -> None:
        endpoints = FakeEndpoints()
        with running_cell([endpoint_host("e1", SEAT_HOLD)], endpoints) as cell:
            answer = call(cell["m1"], "seat-hold", Idempotency_Key=key)
        assert problem(answer) == (400, "bad-idempotency-key", "not_run")
        assert not endpoints.runs

    def test_idempotent_services_need_no_claim(self) -> None:
        with running_cell([endpoint_host("e1")], FakeEndpoints()) as cell:
            assert call(cell["m1"], Idempotency_Key="k")[0] == 200
