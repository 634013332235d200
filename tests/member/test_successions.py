"""Drawn successions of holders: cuts, freezes, restarts, late and lost messages.

Real are what decides who holds the shard and for how long: the control task, the record
of the shard, the cell, the claimants and the authority. A holder's scheduler is reduced
to the leases that it grants.
"""

import contextlib
import random
import threading
from collections.abc import Callable, Iterator
from types import SimpleNamespace

import msgspec
import pytest

from fleet_support import make_configuration
from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.exceptions import (
    StoreError,
    StoreLeaseLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from gooseberrydeck_coordination.ids import MemberId, StoreLeaseId
from gooseberrydeck_coordination.store import Entry, Put, Transaction, TransactionResult
from gooseberrydeck_fleet.settings import Timing
from gooseberrydeck_fleet.state import CLOCK_DRIFT, MAX_TASK_LEASE_S
from gooseberrydeck_member import authority as authority_module
from gooseberrydeck_member import cell as cell_module
from gooseberrydeck_member import control as control_module
from gooseberrydeck_member.authority import Authority
from gooseberrydeck_member.cell import Cell
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.control import (
    HEARTBEAT_INTERVAL_S,
    LEASE_RENEWAL_INTERVAL_S,
    ControlTask,
)
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_member.peer_messages import (
    HandOver,
    Heartbeat,
    HeartbeatReply,
    HolderAnnouncement,
)
from gooseberrydeck_member.peer_server import PeerApplication
from gooseberrydeck_member.peers import PeerCallError, PeerRefusedError
from gooseberrydeck_member.predecessors import Predecessors
from gooseberrydeck_member.shard_lock import ShardLock, ShardView
from gooseberrydeck_member.sole_mark import SoleMarkWriter, SoleMarkWritten
from gooseberrydeck_standins.engine_store import EngineStore
from gooseberrydeck_standins.store_engine import StoreEngine

SEEDS = (*range(60), 311, 365)
"""On the last two days a mark that is stored at once after a claim is wrong."""

DAY_S = 120.0
STEP_S = 0.05
MAX_DEPTH = 2
"""Calls of other members that may be under way while one waits for a response."""


class ProcessKilledError(Exception):
    """The process that makes a call has been killed meanwhile."""


class ClaimWaitsError(StoreError):
    """A thread would wait for another one's claim; the day goes on without it."""


class ClaimLock:
    """A lock that refuses a second thread instead of blocking it."""

    def __init__(self) -> None:
        self.is_held = False

    def acquire(self, blocking: bool = True) -> bool:
        if self.is_held and blocking:
            raise ClaimWaitsError("another thread claims the shard")
        is_acquired = not self.is_held
        self.is_held = True
        return is_acquired

    def release(self) -> None:
        self.is_held = False

    def __enter__(self) -> "ClaimLock":
        self.acquire()
        return self

    def __exit__(self, *_error: object) -> None:
        self.release()


class GrantingScheduler:
    """A scheduler that grants the longest leases, as long as it may act."""

    def __init__(
        self, process: "Process", token: int, authority: Authority, former: Predecessors
    ) -> None:
        self.process = process
        self.token = token
        self.authority = authority
        self.advice_pool = SimpleNamespace(set_peers=lambda _peers: None)
        self.lost = threading.Event()
        self.lost.wait = lambda timeout=None: self.lost.is_set()  # type: ignore[method-assign]
        self.stopping = threading.Event()
        self.leases_end_s = 0.0
        self.predecessors = former
        wait_s = former.max_lease_s() * (1 - CLOCK_DRIFT)
        self.waits_until_s = process.day.clock.now_s + wait_s
        self.sole_mark = SoleMarkWriter(
            EngineStore(process.day.engine, waits=False),
            process.lock,
            former,
            process.day.clock.now_s,
            self.mark_written,
            self,  # type: ignore[arg-type]
        )

    def set_configuration(self, _configuration: object) -> None:
        pass

    def predecessor_stopped(self) -> None:
        now_s = self.process.day.clock.now_s
        self.waits_until_s = min(self.waits_until_s, now_s + MAX_TASK_LEASE_S)
        self.sole_mark.predecessor_stopped(now_s)

    def executor(self, _max_threads: int, _name: str) -> "GrantingScheduler":
        return self

    def submit(self, write: Callable[[], None]) -> None:
        """Stand in for the mark's executor: the store may execute the write late."""
        day = self.process.day
        if self.process.is_store_cut:
            self.mark_written(SoleMarkWritten(None))
        else:
            day.do_later(day.mark_rng.choice((0.0, 0.0, 0.3, 6.0)), write)

    def mark_written(self, message: SoleMarkWritten) -> None:
        day = self.process.day
        if day.mark_rng.random() < day.answer_loss:
            message = SoleMarkWritten(None)
        self.sole_mark.written(message, day.clock.now_s)

    def mark_shard_lost(self) -> None:
        self.authority.revoke()
        self.lost.set()
        self.stopping.set()

    def stop(self) -> None:
        self.authority.revoke()
        self.stopping.set()

    def run_once(self) -> None:
        """Grant leases, and check that no former holder's are left after the wait."""
        if self.stopping.is_set():
            return
        day = self.process.day
        self.authority.round_begins()
        if not self.authority.may_act():
            return
        now_s = day.clock.now_s
        self.sole_mark.send_due(now_s)
        lease_s = min(MAX_TASK_LEASE_S, self.authority.lease_limit_s())
        self.leases_end_s = max(self.leases_end_s, now_s + lease_s)
        if now_s < self.waits_until_s:
            return
        for other in day.schedulers:
            if other.token < self.token and other.leases_end_s > now_s + 1e-6:
                day.found.append(
                    f"{self.process.run} starts tasks with {self.token}"
                    f" {now_s - day.began_s:.2f} s after the start, while leases of"
                    f" {other.process.run} with {other.token} last for"
                    f" {other.leases_end_s - now_s:.2f} s more"
                )


class ProcessStore(EngineStore):
    """A process' calls to the store: slow, cut, without answers, or executed late."""

    def __init__(self, process: "Process", engine: StoreEngine) -> None:
        super().__init__(engine, waits=False)
        self.process = process

    def pass_network(self) -> None:
        """Wait for the store, which may be cut off."""
        self.process.wait_for_response()
        if self.process.is_store_cut:
            raise StoreUnavailableError("cut")

    def lose_answer(self) -> None:
        day = self.process.day
        self.process.wait_for_response()
        if day.rng.random() < day.answer_loss:
            raise StoreOutcomeUnknownError("no answer")

    def read(self, key: str, timeout_s: float) -> Entry | None:
        self.pass_network()
        found = super().read(key, timeout_s)
        self.lose_answer()
        return found

    def grant_lease(self, ttl_s: float, timeout_s: float) -> StoreLeaseId:
        self.pass_network()
        lease = super().grant_lease(ttl_s, timeout_s)
        self.lose_answer()
        return lease

    def keep_lease_alive(self, lease: StoreLeaseId, timeout_s: float) -> float:
        self.pass_network()
        ttl_s = super().keep_lease_alive(lease, timeout_s)
        self.lose_answer()
        return ttl_s

    def commit(self, transaction: Transaction, timeout_s: float) -> TransactionResult:
        day = self.process.day
        self.pass_network()
        self.freeze_at_claim()
        if day.rng.random() < day.answer_loss:
            day.do_later(
                day.rng.uniform(0.1, 6.0), lambda: self.commit_late(transaction)
            )
            raise StoreOutcomeUnknownError("no answer")
        result = super().commit(transaction, timeout_s)
        self.freeze_at_claim()
        self.lose_answer()
        return result

    def freeze_at_claim(self) -> None:
        """Freeze a claimant for long, on some days, before or after its claim."""
        day, process = self.process.day, self.process
        is_claim = process.cell.scheduler is None
        if is_claim and not day.depth and day.rng.random() < day.claim_freeze_share:
            with process.frozen():
                day.run_others(process, day.rng.choice((6.0, 15.0)))
            process.check_alive()

    def commit_late(self, transaction: Transaction) -> None:
        """Execute a transaction whose sender has given it up.

        The store may have kept its lease.
        """
        operations = [
            Put(each.key, each.value) if isinstance(each, Put) else each
            for each in transaction.operations
        ]
        if self.process.day.rng.random() < 0.5:
            transaction = Transaction(transaction.compares, tuple(operations))
        with contextlib.suppress(StoreLeaseLostError):
            super().commit(transaction, 1.0)


class Process:
    """One process of a member."""

    def __init__(self, day: "Day", name: str, number: int) -> None:
        self.day = day
        self.name = name
        self.run = f"{name}-{number}"
        self.address = f"{name}:1"
        self.is_killed = self.is_frozen = self.is_stopping = False
        self.is_store_cut = False
        self.is_control_busy = False
        self.due_s = 0.0
        self.queued: list[Callable[[], object]] = []
        self.store = ProcessStore(self, day.engine)
        lock = ShardLock(self.store, MemberId(name), self.address, self.run)
        self.lock = lock
        self.cell = Cell(name, self.address, self, self.run)  # type: ignore[arg-type]
        configuration = ConfigurationCache(lambda _value: make_configuration())
        configuration.offer(b"1", 0.0, "test")
        self.control = ControlTask(
            self.store,
            lock,
            self.cell,
            self,  # type: ignore[arg-type]
            configuration,
            Timing(),
            self.build_scheduler,  # type: ignore[arg-type]
            Metrics(),
            2.0,
        )
        self.control.executor.shutdown()
        self.control.executor = self  # type: ignore[assignment]
        self.control.claim_lock = ClaimLock()  # type: ignore[assignment]
        self.control.stopping.wait = self.pause  # type: ignore[method-assign]
        self.application = PeerApplication(
            self.cell, configuration, None, Metrics(), self.run, day.clock
        )
        self.application.take_over = self.control.take_over

    def build_scheduler(
        self, authority: Authority, former: Predecessors
    ) -> GrantingScheduler:
        assert self.lock.held is not None
        token = int(self.lock.held.record.token)
        scheduler = GrantingScheduler(self, token, authority, former)
        self.day.schedulers.append(scheduler)
        return scheduler

    def submit(self, function: Callable[..., object], *args: object) -> None:
        """Stand in for the executor: the day makes the announcements."""
        if function == self.cell.announce:
            scheduler, _, predecessors = args
            assert isinstance(scheduler, GrantingScheduler)
            assert isinstance(predecessors, tuple)
            announcement = Announcement(self, scheduler, set(predecessors))
            self.day.announcements.append(announcement)

    def pause(self, timeout: float | None = None) -> bool:
        self.day.run_others(self, timeout or 0.0)
        self.check_alive()
        return False

    def wait_for_response(self) -> None:
        """Let other members go on, sometimes for long, and sometimes frozen."""
        rng = self.day.rng
        chance = rng.random()
        if chance < 0.04:
            self.day.run_others(self, rng.uniform(0.0, 0.5))
        elif chance < 0.04 + self.day.freeze_share:
            with self.frozen():
                self.day.run_others(self, rng.choice((2.0, 6.0, 15.0)))
        self.check_alive()

    @contextlib.contextmanager
    def frozen(self) -> Iterator[None]:
        self.is_frozen = True
        yield
        self.is_frozen = False
        queued, self.queued = self.queued, []
        self.day.rng.shuffle(queued)
        for deliver in queued:
            self.day.do_later(self.day.rng.choice((0.0, 0.0, 0.2)), deliver)

    def check_alive(self) -> None:
        if self.is_killed:
            raise ProcessKilledError

    def run_control(self) -> None:
        """Run a round of the control task if it is due."""
        now_s = self.day.clock.now_s
        if self.is_killed or self.is_frozen or self.is_control_busy:
            return
        if self.cell.scheduler is not None:
            self.cell.scheduler.run_once()
        if now_s < self.due_s:
            return
        self.is_control_busy = True
        try:
            scheduler = self.cell.scheduler
            if scheduler is None:
                self.due_s = now_s + HEARTBEAT_INTERVAL_S
                self.control.follow()
            else:
                self.due_s = now_s + LEASE_RENEWAL_INTERVAL_S
                self.control.lead(scheduler)
        except ProcessKilledError:
            pass
        finally:
            self.is_control_busy = False

    # Methods of PeerClient.

    def reach(self, address: str) -> "Process":
        """Return the process at an address if it answers now."""
        other = self.day.processes.get(address)
        if other is None or self.day.is_cut(self.address, address):
            raise PeerCallError("cut")
        if other.is_killed:
            raise PeerRefusedError("refused")
        return other

    def send_heartbeat(
        self, address: str, heartbeat: Heartbeat, timeout_s: float
    ) -> HeartbeatReply:
        rng = self.day.rng
        body = msgspec.json.encode(heartbeat)
        if rng.random() < 0.02:
            # The request is repeated by the network, whatever becomes of the sender.
            delay_s = rng.uniform(0.1, 6.0)
            self.day.do_later(delay_s, lambda: self.day.deliver(address, body))
            raise PeerCallError("late")
        other = self.reach(address)
        if other.is_frozen:
            other.queued.append(lambda: self.day.deliver(address, body))
            raise PeerCallError("frozen")
        reply = other.application.handle_heartbeat(body)
        self.wait_for_response()
        if reply is None or rng.random() < 0.02:
            raise PeerCallError("no reply")
        return reply

    def announce(
        self, address: str, announcement: HolderAnnouncement, timeout_s: float
    ) -> None:
        other = self.reach(address)
        if other.is_frozen:
            raise PeerCallError("frozen")
        other.application.handle_announcement(msgspec.json.encode(announcement))

    def hand_over(self, address: str, seen: ShardView, timeout_s: float) -> bool:
        other = self.reach(address)
        if other.is_frozen or self.day.depth >= MAX_DEPTH:
            raise PeerCallError("frozen")
        try:
            return other.application.handle_hand_over(
                msgspec.json.encode(HandOver(seen))
            )
        except ProcessKilledError:
            raise PeerCallError("killed") from None


class Announcement:
    """The announcement of a new holder to predecessors that have not replied."""

    def __init__(
        self, process: Process, scheduler: GrantingScheduler, left: set[str]
    ) -> None:
        self.process = process
        self.scheduler = scheduler
        self.left = left

    @property
    def is_open(self) -> bool:
        """Return True if it has to be repeated."""
        has_ended = self.process.is_killed or self.scheduler.stopping.is_set()
        return bool(self.left) and not has_ended

    def repeat(self) -> None:
        """Tell the predecessors; report when all of them have replied."""
        process = self.process
        if process.is_frozen:
            return
        token = self.scheduler.token
        message = HolderAnnouncement(token, process.name, process.address)
        for address in list(self.left):
            with contextlib.suppress(PeerCallError):
                process.announce(address, message, 0.3)
                self.left.discard(address)
        if not self.left:
            self.scheduler.predecessor_stopped()


class Day:
    """Members, the store, and the disturbances of a drawn day."""

    def __init__(self, seed: int, clock: ManualClock) -> None:
        self.rng = random.Random(seed)
        # Apart from the other draws, so that marks leave a day as it is.
        self.mark_rng = random.Random(seed)
        self.clock = clock
        self.began_s = clock.now_s
        self.engine = StoreEngine(self.clock)
        self.depth = 0
        self.answer_loss = self.rng.choice((0.0, 0.01, 0.1))
        self.freeze_share = self.rng.choice((0.0, 0.002, 0.01))
        self.claim_freeze_share = self.rng.choice((0.0, 0.1))
        self.later: list[tuple[float, Callable[[], object]]] = []
        self.cut_links: set[frozenset[str]] = set()
        self.found: list[str] = []
        self.schedulers: list[GrantingScheduler] = []
        self.announcements: list[Announcement] = []
        self.processes: dict[str, Process] = {}
        self.started = 0
        for number in range(self.rng.randint(2, 4)):
            self.start(f"m{number}")

    def start(self, name: str) -> None:
        self.started += 1
        process = Process(self, name, self.started)
        self.processes[process.address] = process

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cut_links

    def do_later(self, delay_s: float, action: Callable[[], object]) -> None:
        self.later.append((self.clock.now_s + delay_s, action))

    def deliver(self, address: str, body: bytes) -> None:
        """Deliver a heartbeat to the process that an address has now."""
        other = self.processes[address]
        if other.is_frozen:
            other.queued.append(lambda: self.deliver(address, body))
        elif not other.is_killed:
            other.application.handle_heartbeat(body)

    def run_others(self, waiting: Process, seconds: float) -> None:
        """Let a member wait while the others go on."""
        if self.depth >= MAX_DEPTH:
            return
        was_busy, waiting.is_control_busy = waiting.is_control_busy, True
        self.depth += 1
        end_s = self.clock.now_s + seconds
        while self.clock.now_s < end_s:
            self.step()
            if waiting.cell.scheduler is not None and not waiting.is_frozen:
                waiting.cell.scheduler.run_once()
        self.depth -= 1
        waiting.is_control_busy = was_busy

    def step(self) -> None:
        self.clock.advance(STEP_S)
        now_s = self.clock.now_s
        due = [action for at_s, action in self.later if at_s <= now_s]
        self.later = [each for each in self.later if each[0] > now_s]
        for action in due:
            action()
        self.disturb()
        self.announce()
        for process in self.rng.sample(
            list(self.processes.values()), len(self.processes)
        ):
            process.run_control()

    def announce(self) -> None:
        """Repeat the announcements to predecessors that have not replied."""
        self.announcements = [each for each in self.announcements if each.is_open]
        for each in self.announcements:
            each.repeat()

    # Disturbances.

    def disturb(self) -> None:
        rng = self.rng
        if rng.random() >= 0.015:
            return
        process = rng.choice(list(self.processes.values()))
        if process.is_killed or process.is_frozen:
            return
        rng.choice(
            (self.kill, self.stop, self.freeze, self.cut_store, self.cut, self.isolate)
        )(process)

    def kill(self, process: Process) -> None:
        process.is_killed = True
        down_s = self.rng.choice((0.3, 2.0, 10.0))
        self.do_later(down_s, lambda: self.start(process.name))

    def stop(self, process: Process) -> None:
        """Stop a process as planned; it follows the holder on for a while."""
        if process.is_stopping or self.depth:
            return
        process.is_stopping = True
        was_busy, process.is_control_busy = process.is_control_busy, True
        with contextlib.suppress(ProcessKilledError, ClaimWaitsError):
            process.control.hand_over()
        process.is_control_busy = was_busy

        def end() -> None:
            if not process.is_killed:
                self.kill(process)

        self.do_later(self.rng.uniform(0.2, 3.0), end)

    def freeze(self, process: Process) -> None:
        if self.depth or process.is_control_busy:
            return
        context = process.frozen()
        context.__enter__()
        self.do_later(
            self.rng.choice((0.5, 2.0, 6.0, 15.0)),
            lambda: context.__exit__(None, None, None),
        )

    def cut_store(self, process: Process) -> None:
        process.is_store_cut = True

        def heal() -> None:
            process.is_store_cut = False

        self.do_later(self.rng.choice((1.0, 4.0, 15.0)), heal)

    def cut(self, process: Process) -> None:
        """Cut a process off some of the others."""
        links = {
            frozenset((process.address, other))
            for other in self.processes
            if other != process.address and self.rng.random() < 0.5
        }
        self.cut_links |= links

        def heal() -> None:
            self.cut_links -= links

        self.do_later(self.rng.choice((1.0, 4.0, 10.0, 25.0)), heal)

    def isolate(self, process: Process) -> None:
        """Cut the holder off the store and some members."""
        holders = [
            each for each in self.processes.values() if each.cell.scheduler is not None
        ]
        chosen = self.rng.choice(holders) if holders else process
        self.cut_store(chosen)
        self.cut(chosen)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    """Return the clock that all members follow."""
    clock = ManualClock()
    fake_time = SimpleNamespace(monotonic=clock.monotonic)
    for module in (control_module, cell_module):
        monkeypatch.setattr(module, "time", fake_time)
    for module in (control_module, cell_module, authority_module):
        monkeypatch.setattr(module, "boottime_clock_s", clock.monotonic)
    return clock


class TestSuccessions:
    # A successor waits 4.6 s for a silent holder that knew it, which counts on what the
    # members confirm to that holder: a task would run twice otherwise.
    @pytest.mark.parametrize("seed", SEEDS)
    def test_no_lease_outlasts_the_wait_of_a_successor(
        self, seed: int, clock: ManualClock
    ) -> None:
        day = Day(seed, clock)
        while clock.now_s < day.began_s + DAY_S:
            day.step()
        assert day.found == []
