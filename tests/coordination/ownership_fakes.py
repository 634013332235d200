"""Fakes of a network, workers and member processes for tests of ownership."""

from collections import defaultdict
from collections.abc import Callable, Iterator

import msgspec

from gooseberrydeck_coordination import (
    AttestationAnswer,
    AttestationRequest,
    Coordinator,
    HostSpecification,
    ManualClock,
    MemberRecord,
    StoreKeys,
    StoreRounds,
    Timing,
    WorkerAdoption,
)
from gooseberrydeck_coordination.ids import (
    CellName,
    DataCentre,
    Epoch,
    HostName,
    MemberId,
    Rack,
    ShardId,
    TaskId,
)
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.faults import CallFault
from gooseberrydeck_standins.store_engine import StoreEngine

TIMING = Timing()
STEP_S = 0.5
CALL_TIMEOUT_S = 2.0
RATES = (1.0, 0.9952, 1.0048)
KEYS = StoreKeys(CellName("test"))


class WorkerCall(msgspec.Struct, frozen=True):
    """A call that adopts a worker, or starts and renews tasks on it."""

    is_adopting: bool
    epoch: Epoch
    starts: tuple[TaskId, ...] = ()
    renewals: tuple[TaskId, ...] = ()


class WorkerAnswer(msgspec.Struct, frozen=True):
    """A worker's answer to a call."""

    is_stale: bool
    tasks: frozenset[TaskId]


class FakeWorker:
    """A worker that runs tasks under leases, with or without fencing."""

    def __init__(self, name: HostName, has_fencing: bool, rate: float) -> None:
        self.name = name
        self.has_fencing = has_fencing
        self.clock = ManualClock(rate=rate)
        self.fence = Epoch(0)
        self.lease_ends_s: dict[TaskId, float] = {}

    def running(self) -> frozenset[TaskId]:
        now_s = self.clock.monotonic()
        self.lease_ends_s = {t: s for t, s in self.lease_ends_s.items() if s > now_s}
        return frozenset(self.lease_ends_s)

    def call(self, call: WorkerCall) -> WorkerAnswer:
        running = self.running()
        if self.has_fencing and call.epoch < self.fence:
            return WorkerAnswer(True, running)
        if call.is_adopting:
            self.fence = max(self.fence, call.epoch)
        lease_end_s = self.clock.monotonic() + TIMING.task_lease_s
        for task in (*call.starts, *(running & set(call.renewals))):
            self.lease_ends_s[task] = lease_end_s
        return WorkerAnswer(False, self.running())


class Message(msgspec.Struct, frozen=True):
    """A message in transit; ``deliver`` is called when it arrives."""

    link: frozenset[str]
    sent_s: float
    deliver: Callable[[], None]


class FakeNetwork:
    """A network that delivers, delays or loses messages, separately for each link."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.cut: set[frozenset[str]] = set()
        self.delayed_links: set[frozenset[str]] = set()
        self.in_transit: list[Message] = []

    def send(self, one: str, other: str, deliver: Callable[[], None]) -> None:
        link = frozenset((one, other))
        if link not in self.cut:
            self.in_transit.append(Message(link, self.clock.monotonic(), deliver))

    def flush(self) -> None:
        """Deliver messages of links without delay; drop those that are too old.

        A call takes effect within ``call_effect_limit_s`` or never.
        """
        oldest_s = self.clock.monotonic() - TIMING.call_effect_limit_s
        while ready := [
            each for each in self.in_transit if each.link not in self.delayed_links
        ]:
            self.in_transit = [
                each for each in self.in_transit if each.link in self.delayed_links
            ]
            for each in ready:
                if each.sent_s >= oldest_s:
                    each.deliver()

    def release(self, link: frozenset[str], duplicated: bool) -> None:
        """End the delay of a link, with its messages reversed and maybe duplicated."""
        self.delayed_links.discard(link)
        mine = [each for each in self.in_transit if each.link == link]
        others = [each for each in self.in_transit if each.link != link]
        self.in_transit = others + mine[::-1] * (2 if duplicated else 1)


class FakeProcess:
    """A member process with a minimal controller that keeps each task running."""

    def __init__(self, cluster: "FakeCluster", name: str, rate: float) -> None:
        self.cluster = cluster
        self.name = name
        self.clock = ManualClock(start_s=1_000.0 + cluster.starts * 977, rate=rate)
        self.store = EngineStore(cluster.engine, waits=False)
        self.store.fault = cluster.store_fault
        record = MemberRecord(
            MemberId(name), f"run{cluster.starts}", "127.0.0.1", 1, DataCentre("lima")
        )
        cluster.starts += 1
        self.coordinator = Coordinator(record, self.clock, cluster.timing)
        self.rounds = StoreRounds(
            self.store, KEYS, record, cluster.shard_count, self.clock, cluster.timing
        )
        self.coordinator.observe_hosts(cluster.hosts)
        self.is_paused = False
        self.is_alive = True
        self.adoptions: dict[tuple[HostName, Epoch], WorkerAdoption] = {}
        self.reported_tasks: dict[HostName, frozenset[TaskId]] = {}
        self.pending: dict[tuple[HostName, int], float] = {}
        self.calls = 0

    @property
    def is_running(self) -> bool:
        return self.is_alive and not self.is_paused

    def step_store(self) -> None:
        plan = self.coordinator.plan_round()
        self.coordinator.apply_round(self.rounds.run(plan))

    def step_peers(self) -> None:
        for out in self.coordinator.attestation_requests():
            self.cluster.send_request(self, out.member, out.request)

    def step_workers(self) -> None:
        """Adopt workers, and start and renew tasks, by the rules of the library."""
        self.expire_calls()
        view = self.coordinator.view()
        for shard, owned in view.owned.items():
            hosts = view.hosts_of(shard)
            for host in hosts:
                adoption = self.adoption(host, owned.epoch)
                adoption.quarantine = owned.quarantine
                if adoption.needs_adopting and not self.is_calling(host):
                    adoption.begin_adopting()
                    self.call(host, WorkerCall(True, owned.epoch))
            states = [self.adoption(host, owned.epoch) for host in hosts]
            self.coordinator.mark_settled(
                shard, owned.epoch, all(each.may_start for each in states)
            )
            if view.may_act(shard):
                self.place_tasks(shard, owned.epoch, states)

    def place_tasks(
        self, shard: ShardId, epoch: Epoch, states: list[WorkerAdoption]
    ) -> None:
        """Renew running tasks, and start those that certainly run nowhere."""
        ready = [each for each in states if each.may_start]
        is_known = all(each.may_start or each.may_replace_tasks for each in states)
        known = {task for each in ready for task in self.reported_tasks[each.host]}
        missing = [t for t in self.cluster.tasks[shard] if t not in known]
        for adoption in ready:
            if self.is_calling(adoption.host):
                continue
            starts = tuple(missing) if is_known else ()
            missing = [] if is_known else missing
            renewals = tuple(self.reported_tasks[adoption.host])
            self.reported_tasks[adoption.host] |= frozenset(starts)
            adoption.record_grant_sent()
            self.call(adoption.host, WorkerCall(False, epoch, starts, renewals))

    def adoption(self, host: HostName, epoch: Epoch) -> WorkerAdoption:
        key = (host, epoch)
        if key not in self.adoptions:
            quarantine = (
                self.coordinator.view()
                .owned[self.coordinator.shard_of_host[host]]
                .quarantine
            )
            self.adoptions[key] = WorkerAdoption(host, quarantine, self.clock)
        return self.adoptions[key]

    def is_calling(self, host: HostName) -> bool:
        return any(called == host for called, _ in self.pending)

    def call(self, host: HostName, call: WorkerCall) -> None:
        self.calls += 1
        number = self.calls
        self.pending[host, number] = sent_s = self.clock.monotonic()
        adoption = self.adoptions[host, call.epoch]
        worker = self.cluster.workers[host]

        def deliver_answer(answer: WorkerAnswer) -> None:
            if not self.is_running or self.pending.pop((host, number), None) is None:
                return
            if answer.is_stale:
                adoption.record_superseded()
            elif call.is_adopting:
                adoption.record_answer(sent_s, worker.has_fencing)
            self.reported_tasks[host] = answer.tasks

        def deliver_call() -> None:
            answer = worker.call(call)
            self.cluster.network.send(self.name, host, lambda: deliver_answer(answer))

        self.cluster.network.send(self.name, host, deliver_call)

    def expire_calls(self) -> None:
        now_s = self.clock.monotonic()
        for (host, number), sent_s in list(self.pending.items()):
            if now_s - sent_s > CALL_TIMEOUT_S:
                del self.pending[host, number]
                for (name, _), adoption in self.adoptions.items():
                    if name == host and adoption.phase.value in ("adopted", "adopting"):
                        adoption.record_no_answer()


class FakeCluster:
    """Processes, workers, a store and a network that share one true clock."""

    def __init__(
        self,
        members: int = 3,
        shards: int = 2,
        workers_per_shard: int = 2,
        unfenced: frozenset[int] = frozenset(),
        timing: Timing = TIMING,
    ) -> None:
        self.timing = timing
        self.shard_count = shards
        self.true_clock = ManualClock()
        self.store_clock = ManualClock(rate=RATES[1])
        self.engine = StoreEngine(self.store_clock)
        self.store_fault = CallFault.NONE
        self.network = FakeNetwork(self.true_clock)
        self.starts = 0
        count = shards * workers_per_shard
        self.workers = {
            HostName(f"w{n}"): FakeWorker(
                HostName(f"w{n}"), n not in unfenced, RATES[n % 3]
            )
            for n in range(count)
        }
        self.hosts = [
            HostSpecification(name, "worker", Rack("r1")) for name in self.workers
        ]
        self.tasks = {
            ShardId(n): (TaskId(f"t{n}/0/0"), TaskId(f"t{n}/1/0"))
            for n in range(shards)
        }
        self.processes: dict[str, FakeProcess] = {}
        self.seen_epochs: dict[object, int] = defaultdict(int)
        for n in range(members):
            self.start(f"m{n}")

    def start(self, name: str) -> FakeProcess:
        process = FakeProcess(self, name, RATES[self.starts % 3])
        self.processes[name] = process
        return process

    def kill(self, name: str) -> None:
        self.processes[name].is_alive = False

    def names(self) -> Iterator[str]:
        yield from self.processes
        yield from self.workers

    def cut(self, one: str, *others: str) -> None:
        self.network.cut |= {frozenset((one, other)) for other in others}

    def cut_store(self, name: str, fault: CallFault = CallFault.DOWN) -> None:
        self.processes[name].store.fault = fault

    def set_store(self, fault: CallFault) -> None:
        self.store_fault = fault
        for process in self.processes.values():
            process.store.fault = fault

    def owner(self, shard: int) -> FakeProcess:
        """Return the process that the store records as the owner of a shard."""
        entry = EngineStore(self.engine).read(KEYS.shard(ShardId(shard)), 1.0)
        assert entry is not None
        return self.processes[msgspec.json.decode(entry.value)["owner"]["member"]]

    def send_request(
        self, asker: FakeProcess, member: MemberId, request: AttestationRequest
    ) -> None:
        def deliver_answer(answer: AttestationAnswer) -> None:
            if asker.is_running:
                asker.coordinator.on_answer(answer)

        def deliver_call() -> None:
            answerer = self.processes.get(member)
            if answerer is not None and answerer.is_running:
                answer = answerer.coordinator.on_request(request)
                self.network.send(asker.name, member, lambda: deliver_answer(answer))

        self.network.send(asker.name, member, deliver_call)

    def advance(self, seconds: float) -> None:
        """Advance true time in steps, in each of which every process runs once."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self) -> None:
        clocks = [self.true_clock, self.store_clock]
        clocks += [each.clock for each in self.workers.values()]
        clocks += [each.clock for each in self.processes.values()]
        for clock in clocks:
            clock.advance(STEP_S)
        for process in list(self.processes.values()):
            for part in (
                process.step_store,
                process.step_peers,
                process.step_workers,
            ):
                if process.is_running:
                    part()
                self.network.flush()
                self.check()

    def check(self) -> None:
        """Check the invariants."""
        self.check_tasks_run_once()
        self.check_unfenced_workers()
        self.check_epochs()

    def hosts_running(self, task: TaskId) -> list[HostName]:
        return [name for name, each in self.workers.items() if task in each.running()]

    def check_tasks_run_once(self) -> None:
        for tasks in self.tasks.values():
            for task in tasks:
                assert len(self.hosts_running(task)) <= 1, f"{task} in two places"

    def check_unfenced_workers(self) -> None:
        for host, worker in self.workers.items():
            if not worker.has_fencing:
                acting = [p.name for p in self.processes.values() if acts_on(p, host)]
                assert len(acting) <= 1, f"{acting} act on {host}"

    def check_epochs(self) -> None:
        for entry in (
            EngineStore(self.engine).read_prefix(KEYS.shards_prefix, 1.0).entries
        ):
            self.check_not_decreasing(
                entry.key, msgspec.json.decode(entry.value)["epoch"]
            )
        for host, worker in self.workers.items():
            self.check_not_decreasing(host, worker.fence)
        for process in self.processes.values():
            for shard, epoch in process.coordinator.attestor.epochs.items():
                self.check_not_decreasing((id(process), shard), epoch)

    def check_not_decreasing(self, subject: object, number: int) -> None:
        assert number >= self.seen_epochs[subject], f"{subject} went back"
        self.seen_epochs[subject] = number

    def running(self) -> set[TaskId]:
        return {task for each in self.workers.values() for task in each.running()}

    def all_tasks(self) -> set[TaskId]:
        return {task for tasks in self.tasks.values() for task in tasks}


def acts_on(process: FakeProcess, host: HostName) -> bool:
    """Return True if a process may start tasks on a host now."""
    view = process.coordinator.view()
    shard = view.shard_of(host)
    if not process.is_alive or shard is None or not view.may_act(shard):
        return False
    adoption = process.adoptions.get((host, view.owned[shard].epoch))
    return adoption is not None and adoption.may_start
