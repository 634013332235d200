"""The commands to each worker that wait to be sent or have no response yet.

The scheduler thread owns them. A command leaves its lane only when a thread is free for
it, so that none waits where nobody looks at it again.
"""

from collections import deque
from collections.abc import Callable

from gooseberrydeck_coordination.ids import Epoch
from gooseberrydeck_fleet.commands import (
    RunCommand,
    StartRun,
    StopRun,
    ThrottleRun,
)
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.send_permission import Obstacle

__all__ = ["CommandLanes", "Order", "run_of"]

UNANSWERED_LIMIT_S = 0.2
"""A worker whose oldest command has had no response for this long gets no others beside
it; more than a round trip between regions."""


class Order:
    """A command to a worker from its decision until its result is known.

    ``is_repeat`` says that an earlier attempt to start the run had no response, and
    ``repeat_obstacle`` what forbids a second attempt. ``number`` distinguishes the
    order from others that are in flight.
    """

    __slots__ = (
        "command",
        "decided_s",
        "is_repeat",
        "number",
        "repeat_obstacle",
        "sent_s",
        "token",
    )

    def __init__(
        self,
        command: RunCommand,
        token: Epoch,
        decided_s: float,
        is_repeat: bool = False,
    ) -> None:
        """Create an order that has not been sent."""
        self.command = command
        self.token = token
        self.decided_s = decided_s
        self.is_repeat = is_repeat
        self.repeat_obstacle: Obstacle | None = None
        self.number = 0
        self.sent_s = 0.0

    @property
    def run(self) -> tuple[TaskRef, int]:
        """The task and the number of the run that the command is about."""
        return run_of(self.command)


class Lane:
    """The orders to one worker, in the order of their decisions."""

    __slots__ = ("answered_s", "in_flight", "is_forgotten", "waiting")

    def __init__(self) -> None:
        """Create a lane without orders."""
        self.waiting: deque[Order] = deque()
        # By number; the oldest is the first.
        self.in_flight: dict[int, Order] = {}
        # When the worker last answered while orders were in flight.
        self.answered_s = 0.0
        # Its worker was removed while orders were in flight.
        self.is_forgotten = False

    def conflicts(self, order: Order) -> bool:
        """Return True if an order has to wait for another one of its run.

        A stop doesn't wait for the start: whichever arrives first, nothing runs on, as
        the worker refuses a start that arrives after the stop.
        """
        is_stop = isinstance(order.command, StopRun)
        return any(
            other.run == order.run
            and not (is_stop and isinstance(other.command, StartRun))
            for other in self.in_flight.values()
        )

    def is_late(self, now_s: float) -> bool:
        """Return True if the worker has owed a response for long."""
        if not self.in_flight:
            return False
        oldest = next(iter(self.in_flight.values()))
        since_s = max(oldest.sent_s, self.answered_s)
        return now_s - since_s >= UNANSWERED_LIMIT_S


class CommandLanes:
    """One lane of orders for each worker.

    Each worker has one thread for itself, so that those that don't respond delay no
    others. A worker that responds may have more orders in flight, of which all workers
    together share ``max_extra``. Those whose worker turns out to be late count apart,
    up to as many. ``max_workers`` is the number of threads for single orders.
    """

    def __init__(self, max_extra: int, max_workers: int) -> None:
        """Create lanes without orders."""
        self.max_extra = max_extra
        self.max_workers = max_workers
        self.late_extra = 0
        self.lanes: dict[WorkerId, Lane] = {}
        # Workers that did not respond to their last command or to a poll since.
        self.unresponsive: set[WorkerId] = set()
        self.last_number = 0
        self.in_flight = 0
        self.busy_workers = 0

    def add(self, order: Order) -> Order | None:
        """Append an order to its lane; return an older one that it replaces.

        The newest speed of a run replaces one that has not been sent. A stop that waits
        is not added twice, and sent with the newest token.
        """
        lane = self.lanes.setdefault(order.command.worker, Lane())
        kind = type(order.command)
        for place, other in enumerate(lane.waiting):
            if type(other.command) is not kind or other.run != order.run:
                continue
            if isinstance(order.command, StopRun):
                other.token = order.token
                return None
            if isinstance(order.command, ThrottleRun):
                lane.waiting[place] = order
                return other
        lane.waiting.append(order)
        return None

    def add_repeat(self, order: Order) -> None:
        """Put an order before all that wait, but for other repeated ones."""
        lane = self.lanes.setdefault(order.command.worker, Lane())
        place = sum(other.is_repeat for other in lane.waiting)
        lane.waiting.insert(place, order)

    def waiting_workers(self) -> list[WorkerId]:
        """Return the workers that orders wait for."""
        return [worker for worker, lane in self.lanes.items() if lane.waiting]

    def take_next(self, worker: WorkerId, now_s: float) -> Order | None:
        """Remove and return the next order to a worker if it may be sent now."""
        lane = self.lanes.get(worker)
        if lane is None or not lane.waiting or not self.has_thread(worker, now_s):
            return None
        if lane.conflicts(lane.waiting[0]):
            return None
        order = lane.waiting.popleft()
        self.remove_if_empty(worker)
        return order

    def has_thread(self, worker: WorkerId, now_s: float) -> bool:
        """Return True if a worker may have one more order in flight."""
        lane = self.lanes[worker]
        if not lane.in_flight:
            return self.busy_workers < self.max_workers
        if worker in self.unresponsive or lane.is_late(now_s):
            return False
        extra = self.in_flight - self.busy_workers
        late_extra = min(self.late_extra, self.max_extra)
        return extra - late_extra < self.max_extra

    def review(self, now_s: float) -> None:
        """Count the orders that late workers have in flight beyond one each."""
        self.late_extra = sum(
            len(lane.in_flight) - 1
            for lane in self.lanes.values()
            if len(lane.in_flight) > 1 and lane.is_late(now_s)
        )

    def sent(self, order: Order, now_s: float) -> None:
        """Record that an order is handed to a thread, and number it."""
        lane = self.lanes.setdefault(order.command.worker, Lane())
        self.last_number += 1
        order.number = self.last_number
        order.sent_s = now_s
        self.in_flight += 1
        self.busy_workers += not lane.in_flight
        lane.in_flight[order.number] = order

    def completed(
        self, worker: WorkerId, number: int, has_response: bool | None, now_s: float
    ) -> Order | None:
        """Remove and return an order that was in flight, or None if it is unknown.

        ``has_response`` is None if the worker wasn't called.
        """
        lane = self.lanes.get(worker)
        order = lane.in_flight.pop(number, None) if lane is not None else None
        if lane is None or order is None:
            return None
        self.in_flight -= 1
        self.busy_workers -= not lane.in_flight
        if has_response:
            self.answered(worker, now_s)
        elif has_response is False and not lane.is_forgotten:
            self.unresponsive.add(worker)
        self.remove_if_empty(worker)
        return order

    def answered(self, worker: WorkerId, now_s: float) -> None:
        """Record that a worker has answered a command or a poll."""
        self.unresponsive.discard(worker)
        lane = self.lanes.get(worker)
        if lane is not None:
            lane.answered_s = now_s

    def withdraw_start(
        self, worker: WorkerId, task: TaskRef, run: int, obstacle: Obstacle
    ) -> list[Order]:
        """Remove and return the start of a run if it waits.

        If it is in flight, it isn't repeated.
        """
        lane = self.lanes.get(worker)
        if lane is None:
            return []
        for order in lane.in_flight.values():
            if order.run == (task, run):
                order.repeat_obstacle = obstacle
        return self.take_waiting(
            worker,
            lambda order: (
                isinstance(order.command, StartRun) and order.run == (task, run)
            ),
        )

    def take_waiting(
        self, worker: WorkerId, is_taken: Callable[[Order], bool] = lambda _: True
    ) -> list[Order]:
        """Remove and return the orders to a worker that wait, or some of them."""
        lane = self.lanes.get(worker)
        if lane is None:
            return []
        taken = [order for order in lane.waiting if is_taken(order)]
        if taken:
            lane.waiting = deque(order for order in lane.waiting if not is_taken(order))
            self.remove_if_empty(worker)
        return taken

    def forget(self, worker: WorkerId) -> None:
        """Forget whether a worker responds."""
        self.unresponsive.discard(worker)
        lane = self.lanes.get(worker)
        if lane is not None:
            lane.is_forgotten = True

    def remove_if_empty(self, worker: WorkerId) -> None:
        """Remove a worker's lane if it has no orders."""
        lane = self.lanes[worker]
        if not lane.waiting and not lane.in_flight:
            del self.lanes[worker]


def run_of(command: RunCommand) -> tuple[TaskRef, int]:
    """Return the task and the number of the run that a command is about."""
    if isinstance(command, StartRun):
        return command.request.task, command.request.run
    return command.task, command.run
