"""Workers in virtual time: the stand-in engine behind a network with faults."""

import math
from collections.abc import Callable
from functools import partial

from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.worker_calls import (
    PollReply,
    StartOutcome,
    StartRequest,
    WorkerRefusedError,
    WorkerReply,
    WorkerSilentError,
)
from gooseberrydeck_standins.fleet_worker import FleetWorkerEngine, RunPlan
from virtual_calls import Network, Response
from virtual_time import VirtualTime

MAX_DRIFT = 0.02
"""How much slower than true time a worker's clock may run."""


class HostClock:
    """The clock of a worker, which may be slow."""

    def __init__(self, loop: VirtualTime, drift: float) -> None:
        """Start a clock that is slow by the share ``drift``."""
        self.loop = loop
        self.began_s = loop.now_s
        self.rate = 1.0 - drift

    def monotonic(self) -> float:
        """Return the time of the worker."""
        return self.began_s + (self.loop.now_s - self.began_s) * self.rate

    def wall(self) -> float:
        """Return the true time."""
        return self.loop.now_s

    def true_s(self, at_s: float) -> float:
        """Return the true time at which this clock shows ``at_s``."""
        return self.began_s + (at_s - self.began_s) / self.rate


class Host:
    """A worker, whose process may end and start again under the same id."""

    def __init__(
        self,
        loop: VirtualTime,
        worker: WorkerId,
        capacity: Resources,
        plan_of: Callable[[StartRequest], RunPlan],
        seed: str,
        started: Callable[[StartRequest], None],
        sending: Callable[[StartRequest], None],
    ) -> None:
        """Start the process.

        ``sending`` is called when a start leaves the holder, ``started`` when the
        worker has begun a run.
        """
        self.loop = loop
        self.worker = worker
        self.plan_of = plan_of
        self.network = Network(loop, f"{seed} {worker}")
        self.clock = HostClock(loop, self.network.rng.uniform(0.0, MAX_DRIFT))
        self.started = started
        self.sending = sending
        self.is_down = False
        self.born_ms = 0
        self.engines: list[FleetWorkerEngine] = []
        # When each engine's process began; orders sent before are not for it.
        self.began_s: list[float] = []
        self.waiting: list[Callable[[], None]] = []
        self.check_s = math.inf
        self.start_process(capacity)

    @property
    def engine(self) -> FleetWorkerEngine:
        """Return the engine of the present process."""
        return self.engines[-1]

    def start_process(self, capacity: Resources) -> None:
        """Start a process, which knows nothing of former ones."""
        slowness = self.engine.slowness if self.engines else 1.0
        self.born_ms = int(self.loop.now_s * 1000)
        engine = FleetWorkerEngine(
            self.clock, capacity, self.plan_of, born_ms=self.born_ms
        )
        engine.slowness = slowness
        self.engines.append(engine)
        self.began_s.append(self.loop.now_s)
        self.is_down = False

    def crash(self) -> None:
        """End the process; connections are refused until the next one starts."""
        if not self.is_down:
            self.engine.crash()
            self.is_down = True
            self.answer_polls()

    def answer_polls(self) -> None:
        """Answer the polls that wait for an end."""
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer()

    def check(self) -> None:
        """End the runs that are due, and answer polls that wait for that."""
        self.check_s = math.inf
        if self.is_down:
            return
        ends = len(self.engine.spans)
        self.engine.advance()
        if len(self.engine.spans) > ends:
            self.answer_polls()
        self.schedule_check()

    def schedule_check(self) -> None:
        """Check again when the next run ends."""
        due_s = min(
            (each.next_end().at_s for each in self.engine.runs.values()),
            default=math.inf,
        )
        if due_s == math.inf:
            return
        at_s = max(self.clock.true_s(due_s) + 1e-6, self.loop.now_s)
        if at_s < self.check_s - 1e-9:
            self.check_s = at_s
            self.loop.call_at(at_s, self.check_if_due)

    def check_if_due(self) -> None:
        """Check, unless the check has been moved."""
        if self.loop.now_s >= self.check_s:
            self.check()

    # What is executed at the worker.

    def execute(self, response: Response[object], effect: Callable[[], object]) -> None:
        """Execute a call that has arrived."""
        response.send(partial(self.refuse_or, effect))
        if not self.is_down:
            self.check()

    def refuse_or(self, effect: Callable[[], object]) -> object:
        """Execute a call, or refuse it if the process is down."""
        if self.is_down:
            raise WorkerRefusedError(f"{self.worker} is down")
        return effect()

    def start(
        self, request: StartRequest, token: Epoch, sent_s: float
    ) -> tuple[StartOutcome, WorkerReply]:
        """Execute a start."""
        before = len(self.engine.runs)
        result = self.engine.start(request, token, sent_s)
        if len(self.engine.runs) > before:
            self.started(request)
        return result

    def hold(
        self,
        response: Response[object],
        token: Epoch,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
    ) -> None:
        """Execute a poll, whose response waits for an end."""
        engine = self.engine
        is_answered = False

        def answer() -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                response.send(list_runs)

        def list_runs() -> object:
            if self.is_down or self.engine is not engine:
                raise WorkerSilentError("the process has ended")
            return engine.poll(token, last_seen, None)

        if self.is_down or not wait_s:
            poll = partial(engine.poll, token, last_seen, lease_until_ms)
            self.execute(response, poll)
            return
        try:
            reply = engine.poll(token, last_seen, lease_until_ms)
        except Exception:
            answer()
            return
        self.schedule_check()
        if reply.ends:
            answer()
        else:
            self.waiting.append(answer)
            self.loop.call_in(wait_s, answer)


class HostCalls:
    """The holder's calls to a worker, as ``WorkerCalls``."""

    def __init__(self, host: Host) -> None:
        """Call ``host``."""
        self.host = host

    def poll(
        self,
        token: Epoch,
        last_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> PollReply:
        """Poll the worker."""
        arguments = token, last_seen, lease_until_ms, wait_s
        reply = self.call(
            lambda response: self.host.hold(response, *arguments), wait_s + timeout_s
        )
        assert isinstance(reply, PollReply)
        return reply

    def start(
        self, request: StartRequest, token: Epoch, timeout_s: float
    ) -> tuple[StartOutcome, WorkerReply]:
        """Start a run."""
        self.host.sending(request)
        effect = partial(self.host.start, request, token, self.host.loop.now_s)
        return self.order(effect, timeout_s)  # type: ignore[return-value]

    def stop(
        self, task: TaskRef, run: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Stop a run."""
        effect = lambda: self.host.engine.stop(task, run, token)  # noqa: E731
        return self.order(effect, timeout_s)  # type: ignore[return-value]

    def throttle(
        self, task: TaskRef, run: int, percent: int, token: Epoch, timeout_s: float
    ) -> WorkerReply:
        """Take note of a speed, which the stand-in's runs don't have."""
        effect = lambda: self.host.engine.reply()  # noqa: E731
        return self.order(effect, timeout_s)  # type: ignore[return-value]

    def order(self, effect: Callable[[], object], timeout_s: float) -> object:
        """Send an order, which may be executed late, and wait for its result."""
        return self.call(
            lambda response: self.host.execute(response, effect),
            timeout_s,
            may_be_late=True,
        )

    def call(
        self,
        serve: Callable[[Response[object]], None],
        timeout_s: float,
        may_be_late: bool = False,
    ) -> object:
        """Send a call and wait for its result."""
        try:
            return self.host.network.call(serve, timeout_s, may_be_late)
        except TimeoutError as error:
            raise WorkerSilentError("no response in time") from error

    def close(self) -> None:
        """Do nothing."""
