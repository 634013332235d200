"""A fleet whose holder sends orders late, and whose store is slow to answer."""

from typing import NamedTuple

from fleet_support import Fleet
from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import Changes, Command, StartRun, StopRun
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_fleet.scheduler import Scheduler
from gooseberrydeck_fleet.worker_calls import WorkerFencedError

PREDECESSOR_ACTS_S = 1.5
"""How long a predecessor may go on without learning of its successor."""


class HeldOrder(NamedTuple):
    """A start or stop that its holder has not sent yet."""

    due_s: float
    scheduler: Scheduler
    token: Epoch
    born_ms: int
    command: StartRun | StopRun


class Commit(NamedTuple):
    """A commit without a response so far."""

    due_s: float
    changes: Changes
    is_stored: bool


class DelayedFleet(Fleet):
    """A fleet with delays inside the holder, and between the holder and the store.

    Orders to the workers in ``holds_s`` are sent that much later, in their order;
    nothing withdraws them but the end of the worker's process. Commits take
    ``commit_s``, and change the store at the end of this time or, with
    ``stores_at_once``, at its beginning.
    """

    def __init__(self, workers: int = 4) -> None:
        """Create a fleet without delays."""
        self.holds_s: dict[WorkerId, float] = {}
        self.held_orders: list[HeldOrder] = []
        self.commit_s = 0.0
        self.stores_at_once = False
        self.commits: list[Commit] = []
        super().__init__(workers)

    def execute(self, command: Command) -> None:
        """Execute a command, or hold it back."""
        if not isinstance(command, StartRun | StopRun) or not self.holds(command):
            super().execute(command)
            return
        if isinstance(command, StartRun):
            self.starts.append((self.now_s, command.request.task, command.worker))
        else:
            self.stops.append((self.now_s, command.task, command.reason.value))
        self.held_orders.append(
            HeldOrder(
                self.now_s + self.holds_s.get(command.worker, 0.0),
                self.scheduler,
                self.worker_token(command.worker),
                self.engines[command.worker].born_ms,
                command,
            )
        )

    def holds(self, command: StartRun | StopRun) -> bool:
        """Return True if a command waits, if only behind another one."""
        worker = command.worker
        is_behind = any(each.command.worker == worker for each in self.held_orders)
        return is_behind or worker in self.holds_s

    def step(self) -> None:
        """Send the orders that are due, and go on as without delays."""
        self.send_held_orders()
        super().step()

    def send_held_orders(self) -> None:
        """Send the orders that are due and behind no other of their worker."""
        left: list[HeldOrder] = []
        blocked: set[WorkerId] = set()
        for order in self.held_orders:
            if order.due_s > self.now_s or order.command.worker in blocked:
                blocked.add(order.command.worker)
                left.append(order)
            else:
                self.send_held_order(order)
        self.held_orders = left

    def send_held_order(self, order: HeldOrder) -> None:
        """Send an order, unless its worker's process has ended."""
        command, scheduler = order.command, order.scheduler
        engine = self.engines.get(command.worker)
        try:
            if engine is None or engine.born_ms != order.born_ms:
                raise WorkerFencedError
            if isinstance(command, StartRun):
                self.send_start(command, order.token, scheduler)
            else:
                self.send_stop(command, order.token)
        except WorkerFencedError:
            if isinstance(command, StartRun):
                task, run = command.request.task, command.request.run
                scheduler.start_unanswered(command.worker, task, run, was_sent=False)

    def commit(self) -> None:
        """Begin a commit, and complete those that are due."""
        if not self.is_store_available:
            return
        changes = self.take_changes()
        if self.stores_at_once:
            self.store_changes(changes)
        due_s = self.now_s + self.commit_s
        self.commits.append(Commit(due_s, changes, self.stores_at_once))
        due = [each for each in self.commits if each.due_s <= self.now_s]
        self.commits = [each for each in self.commits if each.due_s > self.now_s]
        for each in due:
            if not each.is_stored:
                self.store_changes(each.changes)
            self.confirm_changes(each.changes)
        self.record_workers()

    def take_over(self, quarantine_s: float = 4.3, is_alive: bool = False) -> None:
        """Replace the scheduler; the store refuses what it has not stored so far.

        A predecessor that is alive still sends the orders that it holds.
        """
        self.commits.clear()
        super().take_over(quarantine_s)
        acts_until_s = self.now_s + PREDECESSOR_ACTS_S
        if is_alive:
            self.scheduler.predecessor_may_act(acts_until_s)
        self.held_orders = [
            each for each in self.held_orders if is_alive and each.due_s < acts_until_s
        ]

    def end_delays(self) -> None:
        """Let everything go at once again; what is held is sent when it is due."""
        self.holds_s.clear()
        self.commit_s = 0.0
        self.delayed_starts.clear()
        self.deliver_starts()
