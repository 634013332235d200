"""Racks that crash, and holders that are silent or gone, beside standing tasks."""

import random
import threading
import time
from collections.abc import Callable
from typing import Any

import structlog

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    default_configuration,
    job_body,
)
from gooseberrydeck_adapter_standins.worker import DOWN_S
from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ids import TaskRef
from gooseberrydeck_standins.fleet_worker import RunSpan
from soak.callers import SUBMIT_EVERY_S, JobClient, job_of
from soak.faults import LINK_FAULTS, MEMBERS, WORKER_CPUS, WORKERS, Fault
from soak.series import SeriesCell
from soak.standing import (
    Outage,
    Rooms,
    Standstill,
    WorkerLife,
    find_lost,
    find_standstills,
)

__all__ = [
    "ADVICE_OPTIONS",
    "LASTING_LENGTH_S",
    "LastingCell",
    "LastingClient",
    "draw_lasting",
    "lasting_configuration",
]

log = structlog.get_logger(__name__)

LASTING_LENGTH_S = 18.0
OBSERVED_S = 11.0
"""How long the standing tasks are observed after the last fault, with traffic."""

LASTING_WORKERS = 8
STANDING_JOBS = 4
TASKS_A_JOB = 3
STANDING_LEAD_S = 2.0
"""Time from the submission of the standing jobs to the other traffic."""

FIRST_STANDING_JOB = 0xF000
MAX_ATTEMPTS = 20
CPU_MILLIS = 1_000
"""What each task uses, standing or not."""

SLOW_SHARE = 0.08
"""Share of the jobs on the queue ``slow``, whose steps need advice."""

DECIDE_MS = 400.0
PER_ITEM_MS = 6.0
VALID_FOR_MS = 2_500
ALLOWED_SHARE = 0.7
ADVICE_OPTIONS = (
    *("--decide-ms", str(DECIDE_MS)),
    *("--per-item-ms", str(PER_ITEM_MS)),
    *("--share", str(ALLOWED_SHARE)),
)

RACK_KINDS = ("kill_rack", "restart_rack")
HOLDER_KINDS = ("kill_holder", "pause_holder", "stop_holder", "stutter_holder")
OTHER_KINDS = (
    "advice_link",
    "advice_down",
    "pause_member",
    "store_link",
    "worker_link",
    "pause_worker",
)
STUTTER_S = (0.4, 0.1)
"""How long a stuttering member is suspended and runs, in turn."""


def draw_lasting(seed: int, length_s: float) -> list[Fault]:
    """Return crashes of racks around changes of the holder, in order of time."""
    rng = random.Random(seed)
    faults: list[Fault] = []

    def draw(at_s: float, kind: str) -> None:
        at_s = min(max(3.0, at_s), length_s)
        for_s = rng.uniform(0.3, 4.0)
        target, link = rng.randrange(100), rng.choice(LINK_FAULTS)
        faults.append(Fault(at_s, for_s, kind, target, link))

    for _ in range(rng.randint(1, 2)):
        at_s = rng.uniform(4.0, length_s - 6.0)
        kind = rng.choice(RACK_KINDS)
        for _ in range(rng.randint(1, 4)):
            draw(at_s, kind)
            at_s += rng.uniform(0.5, 4.0)
        holder_s = at_s + rng.uniform(-5.0, 0.5)
        for _ in range(rng.randint(0, 2)):
            draw(holder_s, rng.choice(HOLDER_KINDS))
            holder_s += rng.uniform(1.0, 4.0)
        for _ in range(rng.randint(0, 2)):
            draw(at_s + rng.uniform(-5.0, 1.0), rng.choice(OTHER_KINDS))
    return sorted(faults, key=lambda fault: fault.at_s)


def lasting_configuration() -> dict[str, Any]:
    """Return a configuration whose slow steps and standing steps need slow advice."""
    configuration = default_configuration()
    slow = next(each for each in configuration["Routes"] if each["Name"] == "slow")
    slow["Advice"] = {
        "DecideMs": DECIDE_MS,
        "PerItemMs": PER_ITEM_MS,
        "ValidForMs": VALID_FOR_MS,
    }
    lasting = {**slow, "Name": "lasting", "Prefix": "/lasting/", "Priority": 1}
    configuration["Routes"].append(lasting)
    return configuration


class LastingClient(JobClient):
    """Client that submits standing jobs before any others."""

    cpu_millis = (CPU_MILLIS,)

    def __init__(self, cell: "LastingCell", seed: int, with_crashes: bool) -> None:
        """Create a client whose jobs are generated from a seed."""
        super().__init__(cell, seed, with_crashes, with_periodic=False)
        self.standing_s: dict[str, float] = {}
        """The wall-clock time at which each standing job was accepted."""

    def run(self) -> None:
        """Submit the standing jobs, and others until stopped."""
        for number in range(STANDING_JOBS):
            self.submit_standing(f"/lasting/{FIRST_STANDING_JOB + number:016x}")
        self.stopping.wait(STANDING_LEAD_S)
        number = 0
        while not self.stopping.wait(SUBMIT_EVERY_S):
            number += 1
            queue = "slow" if self.rng.random() < SLOW_SHARE else "urgent"
            self.submit(f"/{queue}/{number:016x}")

    def submit_standing(self, path: str) -> None:
        """Submit a standing job under one id until it is accepted."""
        body = job_body(tasks=TASKS_A_JOB, cpu=CPU_MILLIS, LongRunning=True)
        for attempt in range(MAX_ATTEMPTS):
            response = self.connections.call(
                self.cell.member(attempt), "POST", path, body
            )
            if response is not None and response.status == 200:
                self.standing_s[path] = time.time()
                return
            self.stopping.wait(SUBMIT_EVERY_S)
        log.warning("standing job not accepted", path=path)

    def standing_tasks(self) -> dict[TaskRef, float]:
        """Return the tasks of the standing jobs and when they were accepted."""
        return {
            TaskRef(JobId(job_of(path)), 0, 0, number): accepted_s
            for path, accepted_s in self.standing_s.items()
            for number in range(TASKS_A_JOB)
        }


class LastingCell(SeriesCell):
    """A cell in which several workers crash at the same moment.

    Workers have processes of their own, so that the one numbered N has the id ``wN``.
    """

    def __init__(self, platform: LocalPlatform) -> None:
        """Start the workers and members."""
        self.began_s: list[float] = []
        self.killed_s: dict[int, float] = {}
        self.outages: list[Outage] = []
        self.additions: list[threading.Thread] = []
        self.addition_lock = threading.Lock()
        super().__init__(platform, with_rebirths=False)
        for _ in range(LASTING_WORKERS - WORKERS):
            self.add_worker()

    def add_worker(self) -> None:
        """Start a worker that is reached through a proxy."""
        super().add_worker()
        self.began_s.append(time.time())

    def begin(self, fault: Fault) -> Callable[[], None]:
        """Inject a fault, record its outage, and return a callable that ends it."""
        began_s = time.time()
        workers = self.affected(fault)
        end_fault = super().begin(fault)

        def end() -> None:
            end_fault()
            self.outages.append(
                Outage(began_s, time.time(), frozenset(f"w{each}" for each in workers))
            )

        return end

    def affected(self, fault: Fault) -> list[int]:
        """Return the numbers of the workers that a fault affects, without the cell."""
        if fault.kind in RACK_KINDS:
            return self.rack(fault)
        if fault.kind == "pause_worker":
            return [fault.target % len(self.platform.workers)]
        return [fault.target % WORKERS] if fault.kind == "worker_link" else []

    def rack(self, fault: Fault) -> list[int]:
        """Return the numbers of up to four workers, at most half of those alive."""
        workers = self.platform.workers
        alive = [number for number, process in enumerate(workers) if process.is_alive()]
        count = min(2 + fault.target % 3, len(alive) // 2)
        first = fault.target % max(1, len(alive))
        return (alive + alive)[first : first + count]

    def begin_kill_rack(self, fault: Fault) -> Callable[[], None]:
        """Kill several workers together; at the end, new ones are added."""
        rack = self.rack(fault)
        for number in rack:
            self.killed_s[number] = time.time()
        self.platform.kill_workers([self.platform.workers[each] for each in rack])

        def end() -> None:
            for number in rack:
                self.lapse_entry(number, 0.0)
            # In a thread, since other faults end while workers start.
            thread = threading.Thread(target=self.add_workers, args=(len(rack),))
            thread.start()
            self.additions.append(thread)

        return end

    def add_workers(self, count: int) -> None:
        """Start several workers."""
        for _ in range(count):
            with self.addition_lock:
                self.add_worker()

    def begin_restart_rack(self, fault: Fault) -> Callable[[], None]:
        """Crash several workers together, which start again under their ids."""
        rack = self.rack(fault)
        for number in rack:
            self.control(self.platform.workers[number], "/restart")
        until_s = time.time() + DOWN_S
        self.outages.append(
            Outage(until_s - DOWN_S, until_s, frozenset(f"w{each}" for each in rack))
        )
        return lambda: None

    def begin_stutter_holder(self, fault: Fault) -> Callable[[], None]:
        """Suspend the holder for most of the time until the end of the fault."""
        holder = self.holder(fault)
        is_over = threading.Event()
        pause_s, run_s = STUTTER_S

        def stutter() -> None:
            while not is_over.is_set() and holder.is_alive():
                holder.pause()
                is_over.wait(pause_s)
                holder.resume()
                is_over.wait(run_s)

        thread = threading.Thread(target=stutter)
        thread.start()

        def end() -> None:
            is_over.set()
            thread.join()

        return end

    def begin_advice_link(self, fault: Fault) -> Callable[[], None]:
        """Inject a link fault between a member and the advice service."""
        name = self.names[fault.target % MEMBERS]
        return self.set_link_fault(self.advice_links[name], fault)

    def observe(self) -> None:
        """Clear all faults and let the cell run without any."""
        began_s = time.time()
        self.recover()
        for thread in self.additions:
            thread.join()
        self.platform.wait_ready()
        self.outages.append(Outage(began_s, time.time()))
        time.sleep(OBSERVED_S)

    def check_standing_tasks(
        self, client: LastingClient
    ) -> tuple[list[Standstill], list[str]]:
        """Return all standstills, the longest first, and those that broke the rule."""
        until_s = time.time()
        lives = [self.life(each.worker, each.spans) for each in self.platform.ledgers()]
        spans = [span for life in lives for span in life.spans]
        standstills = find_standstills(client.standing_tasks(), spans, until_s)
        rooms = Rooms(lives, self.outages, ALLOWED_SHARE)
        return standstills, find_lost(standstills, self.outages, rooms.has_room)

    def life(self, worker: str, spans: list[RunSpan]) -> WorkerLife:
        """Return the record of a worker."""
        number = int(worker.removeprefix("w"))
        return WorkerLife(
            worker,
            spans,
            WORKER_CPUS * 1_000 // CPU_MILLIS,
            self.began_s[number],
            self.killed_s.get(number, time.time()),
        )
