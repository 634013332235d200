"""Workers that stop answering, and who is to blame if they have crashed.

Silence, refused connections and expired leases don't show a crash, since a worker that
is cut off may run on. Another process in the worker's place does. A worker that has
vanished, with its registration, soon after a run began counts for less: its replacement
may come elsewhere, but it may also have been taken away, or be cut off for long.
The runs that were there when the worker fell silent are stored meanwhile, so that a
successor can tell what the crash has taken.
"""

from collections import deque
from datetime import UTC, datetime
from enum import Enum
from typing import NamedTuple

from gooseberrydeck_fleet.crash_records import (
    MIN_CRASHES,
    CrashRecord,
    suspicion,
    total_blame,
)
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.registrations import Registration
from gooseberrydeck_fleet.run_ends import RunEndHandler
from gooseberrydeck_fleet.state import Run, Task, Worker
from gooseberrydeck_fleet.work import JobState

__all__ = [
    "BlamedRun",
    "CrashEvidence",
    "CrashReport",
    "CrashTracker",
    "PresentRun",
]

GIVE_UP_BLAME = 1.4
"""Blame from which a task is given up.

That takes a crash of a worker that it had to itself, and at least one more of which it
has much of the blame.
"""

MANY_CRASHES = 4
"""Number of crashes under a task from which less blame is enough: after three, the
platform permits two more starts at most."""

MANY_CRASHES_BLAME = 1.0
"""Blame from which a task is given up that was there at that many crashes."""

MAX_EARLY_CRASHES = 5
"""Number of crashes soon after its start from which a task is given up whatever its
blame, which stays low if other workers crash at the same moments: after three, the
platform permits two more starts."""

EARLY_CRASH_AGE_S = 1.0
"""Greatest age of a run whose crash counts as early; a run that is lost by chance is
lost at any age."""

VANISHED_WEIGHT = 0.5
"""Weight of a worker that has vanished, relative to one that has certainly crashed."""

VANISHED_RUN_AGE_S = 3.0
"""Greatest age of the runs that are blamed for a worker that has vanished. Workers are
taken away at any age of their runs; some are noticed to be silent after 2 s only."""

REGISTRATION_RETURN_S = 2.5
"""Time after which a registration that was removed does not return; the platform takes
up to 2 s after an outage of its store."""

UNDECIDED_S = 10.0
"""How long a task that has lost a run before waits for evidence of the next crash: for
the removal of the registration, after some heartbeats, and its return."""

MIN_RELATIVE_SHARE = 0.2
"""A task is suspected if its share of the blame is at least this part of the largest
share, or if it was there at several crashes."""

AGE_FLOOR_S = 0.1
"""Added to the age of runs when they are compared, as it is known to some tens of
milliseconds only. A task may crash its worker at once or late, and any order of
magnitude is as likely, so its weight is inverse to its age."""

SIMULTANEOUS_S = 0.25
"""Workers that fall silent within this time may have done so for the same reason."""

COMMON_CAUSE_WORKERS = 2
"""Number of other workers that fall silent at the same time from which runs with
expired leases are not suspected."""

POSTPONEMENT_S = 0.2
"""How long a review postpones a start; the next review comes sooner."""

RECORD_DELAY_S = 0.1
"""Silence after which a worker's runs are stored; a lost poll is repeated sooner."""

MIN_SILENCE_S = 1.0
"""A worker that answers again sooner has not been silent."""

MAX_SILENCE_S = 60.0
"""Time after which a silent worker counts as cut off, unless it has vanished."""


class CrashEvidence(Enum):
    """What showed that a silent worker had crashed."""

    NEW_PROCESS = "new_process"
    REPLACED = "replaced"
    ADDRESS_TAKEN = "address_taken"
    VANISHED = "vanished"


class PresentRun(NamedTuple):
    """A run on a worker that has stopped answering, after ``age_s`` seconds."""

    task: Task
    number: int
    age_s: float

    @property
    def is_recent(self) -> bool:
        """Return True if the run had not taken long; see ``VANISHED_RUN_AGE_S``."""
        return self.age_s <= VANISHED_RUN_AGE_S


class BlamedRun(NamedTuple):
    """A run's share of the blame for a crash, and all the blame of its task."""

    task: TaskRef
    run: int
    age_s: float
    share: float
    total_blame: float
    crashes: int
    is_given_up: bool


class CrashReport(NamedTuple):
    """A crash of a worker, for the log.

    ``silent_s`` is how long it had been silent. ``others_silent`` is the number of
    other workers that may have fallen silent at the same time, each less the blame of
    the suspect that explains it best.
    """

    worker: WorkerId
    evidence: CrashEvidence
    silent_s: float
    others_silent: float
    runs: int
    blamed: tuple[BlamedRun, ...]


class Silence:
    """A worker that has stopped answering, and its runs then.

    It did so between the Unix times ``from_s`` and ``since_s``; ``monotonic_s`` is the
    former on the local clock, unless a predecessor noticed it. ``explained`` is the
    blame, up to 1, of the suspect that it was most likely crashed by.
    ``unregistered_s`` is the monotonic time at which its registration was found
    removed, if it was.
    """

    __slots__ = (
        "address",
        "born_ms",
        "explained",
        "from_s",
        "is_recorded",
        "is_vanished",
        "monotonic_s",
        "runs",
        "since_s",
        "unregistered_s",
        "worker",
    )

    def __init__(
        self,
        worker: WorkerId,
        address: str,
        born_ms: int,
        since_s: float,
        from_s: float,
        monotonic_s: float | None = None,
    ) -> None:
        """Record that the worker's process answers no more."""
        self.worker = worker
        self.address = address
        self.born_ms = born_ms
        self.since_s = since_s
        self.from_s = from_s
        self.monotonic_s = monotonic_s
        self.runs: dict[tuple[TaskRef, int], PresentRun] = {}
        self.explained = 0.0
        self.is_recorded = False
        self.unregistered_s: float | None = None
        # True once its runs have been blamed, which an answer or a new process revises.
        self.is_vanished = False


class CrashTracker:
    """Attribute crashes of workers to tasks, and give up those that are to blame."""

    def __init__(self, ledger: Ledger, ends: RunEndHandler) -> None:
        """Create a tracker for the workers of a ledger."""
        self.ledger = ledger
        self.suspects = ledger.suspects
        self.ends = ends
        self.silences: dict[WorkerId, Silence] = {}
        # Silences of the last minute, ended or not.
        self.recent: deque[Silence] = deque()
        # Processes that have crashed, by worker, whose runs may not count as lost yet.
        self.crashed_processes: dict[WorkerId, int] = {}
        self.reports: list[CrashReport] = []
        # True while restored silences wait to be compared with the registered workers.
        self.has_restored = False
        # Difference between Unix time and the monotonic clock.
        self.wall_offset_s = 0.0

    def set_time(self, now_s: float, wall_s: float) -> None:
        """Set the relation between the clocks."""
        self.wall_offset_s = self.suspects.wall_offset_s = wall_s - now_s

    # Silence.

    def worker_silent(
        self, worker: Worker, now_s: float, from_s: float | None = None
    ) -> None:
        """Note the runs of a worker that has stopped answering, at ``from_s`` or later.

        That is now by default. A worker that drains may leave, which is no crash.
        """
        if worker.id in self.silences or worker.entry.is_draining:
            return
        if self.crashed_processes.get(worker.id) == worker.born_ms:
            return
        since_s = now_s + self.wall_offset_s
        address = str(worker.entry.address)
        earliest_s = now_s if from_s is None else from_s
        silence = Silence(
            worker.id,
            address,
            worker.born_ms,
            since_s,
            earliest_s + self.wall_offset_s,
            earliest_s,
        )
        for key, run in worker.runs.items():
            age_s = max(0.0, now_s - run.started_s)
            silence.runs[key] = PresentRun(run.task, run.number, age_s)
            self.explain(silence, run.task)
            self.suspects.worker_silent(run.task, earliest_s)
        self.add_silence(silence)

    def explain(self, silence: Silence, task: Task) -> None:
        """Note how well a suspect explains a silence."""
        if self.suspects.is_suspect(task):
            blame = min(1.0, total_blame(task.crashes.values()))
            silence.explained = max(silence.explained, blame)

    def add_silence(self, silence: Silence) -> None:
        """Add a silence that has begun."""
        self.silences[silence.worker] = silence
        self.recent.append(silence)

    def restore(self, task: Task, record: CrashRecord) -> None:
        """Apply a stored record of a task."""
        task.crashes[record.run] = record
        if record.is_counted:
            self.suspects.add(task, record.age_s, 0.0, None)
            if not record.is_vanished:
                return
        silence = self.silences.get(record.worker)
        if silence is None:
            since_s = record.silent_s
            silence = Silence(
                record.worker, record.address, record.born_ms, since_s, since_s
            )
            silence.is_recorded = True
            self.add_silence(silence)
            self.has_restored = True
        silence.is_vanished |= record.is_vanished
        silence.runs[task.ref, record.run] = PresentRun(task, record.run, record.age_s)
        self.explain(silence, task)

    def never_started(self, run: Run) -> None:
        """Forget a run of a silent worker whose start request was not executed."""
        silence = self.silences.get(run.worker.id)
        if silence is None:
            return
        if silence.runs.pop((run.task.ref, run.number), None) is not None:
            self.remove_record(run.task, run.number)

    def remove_record(self, task: Task, number: int) -> None:
        """Remove the record of a run that was not lost in a crash."""
        if task.crashes.pop(number, None) is not None:
            self.ledger.changed[task.ref.job] = None

    def end_silence(self, silence: Silence, now_s: float) -> None:
        """End a silence that was no crash; a short one was a lost response."""
        del self.silences[silence.worker]
        is_short = now_s + self.wall_offset_s - silence.since_s < MIN_SILENCE_S
        # Older ones have been removed; a host's time of day may be set back.
        if is_short and silence in self.recent:
            self.recent.remove(silence)
        for present in silence.runs.values():
            self.remove_record(present.task, present.number)

    # Evidence.

    def worker_answered(self, worker: Worker, born_ms: int, now_s: float) -> None:
        """Apply a conclusive reply of a worker's present process."""
        if worker.born_ms not in (0, born_ms):
            # Its former process may have ended between two replies.
            self.worker_silent(worker, now_s)
        silence = self.silences.get(worker.id)
        if silence is None:
            return
        if silence.born_ms in (0, born_ms):
            self.end_silence(silence, now_s)
        else:
            self.crashed(silence, CrashEvidence.NEW_PROCESS, now_s)

    def worker_replaced(self, worker: Worker, now_s: float) -> None:
        """Apply that another process answers in a worker's place."""
        self.worker_silent(worker, now_s)
        silence = self.silences.get(worker.id)
        if silence is not None:
            self.crashed(silence, CrashEvidence.REPLACED, now_s)

    def worker_registered(self, entry: Registration, now_s: float) -> None:
        """Apply that a new worker has registered, perhaps at a silent one's address."""
        for silence in list(self.silences.values()):
            is_elsewhere = silence.address != str(entry.address)
            is_older = 0 < entry.born_ms <= silence.born_ms
            if silence.worker != entry.worker and not is_elsewhere and not is_older:
                self.crashed(silence, CrashEvidence.ADDRESS_TAKEN, now_s)

    # Blame.

    def crashed(self, silence: Silence, evidence: CrashEvidence, now_s: float) -> None:
        """Share the blame for a crash among the runs that the worker had."""
        is_vanished = evidence is CrashEvidence.VANISHED
        if is_vanished:
            silence.is_vanished = True
        else:
            del self.silences[silence.worker]
            self.crashed_processes[silence.worker] = silence.born_ms
        if not silence.runs:
            return
        others = self.count_others(silence)
        relevance = (VANISHED_WEIGHT if is_vanished else 1.0) / (1 + others)
        blamed = []
        for present, share, is_suspect in self.share_blame(silence):
            task = present.task
            if task.is_done or task.step.job.state.is_final:
                continue
            if is_vanished and not present.is_recent:
                continue
            self.record(silence, present, share * relevance, relevance, is_vanished)
            if is_suspect:
                since_s = silence.monotonic_s
                self.suspects.add(task, present.age_s, now_s, since_s)
            blamed.append(self.judge(present, share))
        self.reports.append(
            CrashReport(
                silence.worker,
                evidence,
                now_s + self.wall_offset_s - silence.since_s,
                round(others, 3),
                len(silence.runs),
                tuple(blamed),
            )
        )

    def count_others(self, silence: Silence) -> float:
        """Return how many others may have fallen silent with a worker, unexplained."""
        return sum(
            1 - other.explained
            for other in self.recent
            if other is not silence and may_coincide(silence, other)
        )

    def share_blame(self, silence: Silence) -> list[tuple[PresentRun, float, bool]]:
        """Return each run's share of the blame, and whether to suspect its task."""
        runs = list(silence.runs.values())
        weights = [
            suspicion(other_crashes(present)) / (present.age_s + AGE_FLOOR_S)
            for present in runs
        ]
        total = sum(weights)
        least = MIN_RELATIVE_SHARE * max(weights, default=0.0)
        return [
            (present, weight / total, weight >= least or has_crashed(present))
            for present, weight in zip(runs, weights, strict=True)
        ]

    def record(
        self,
        silence: Silence,
        present: PresentRun,
        blame: float = 0.0,
        relevance: float = 0.0,
        is_vanished: bool = False,
    ) -> None:
        """Record a run of a silent worker, to be stored with its job's progress."""
        task = present.task
        task.crashes[present.number] = CrashRecord(
            present.number,
            silence.worker,
            silence.born_ms,
            round(silence.since_s, 3),
            round(present.age_s, 3),
            round(blame, 4),
            relevance,
            silence.address,
            is_vanished,
        )
        job = task.step.job
        self.ledger.changed[job.id] = None
        if relevance:
            job.crashes_counted += 1

    def judge(self, present: PresentRun, share: float) -> BlamedRun:
        """Give up a task that is to blame for crashes, or had too many.

        Unless there are many, two have to be certain.
        """
        task = present.task
        records = [each for each in task.crashes.values() if each.is_counted]
        total = total_blame(records)
        has_many = len(records) >= MANY_CRASHES
        enough = MANY_CRASHES_BLAME if has_many else GIVE_UP_BLAME
        certain = sum(not record.is_vanished for record in records)
        early = sum(
            record.age_s <= EARLY_CRASH_AGE_S and not record.is_cleared
            for record in records
        )
        is_guilty = (has_many or certain >= MIN_CRASHES) and total >= enough
        is_guilty = is_guilty or early >= MAX_EARLY_CRASHES
        if is_guilty:
            job = task.step.job
            first = min(record.silent_s for record in records)
            since = datetime.fromtimestamp(first, UTC).isoformat(timespec="seconds")
            name = ".".join(str(part) for part in task.ref)
            job.failure = f"task {name} crashed {len(records)} workers since {since}"
            self.ends.finish(job, JobState.FAILED)
        return BlamedRun(
            task.ref,
            present.number,
            round(present.age_s, 3),
            round(share, 3),
            round(total, 3),
            len(records),
            is_guilty,
        )

    # At intervals.

    def review(self, now_s: float) -> None:
        """Record the runs of silent workers, and clear the suspects that work."""
        wall_s = now_s + self.wall_offset_s
        while self.recent and wall_s - self.recent[0].since_s > MAX_SILENCE_S:
            self.crashed_processes.pop(self.recent.popleft().worker, None)
        if self.has_restored:
            self.has_restored = False
            for worker in self.ledger.workers.values():
                self.worker_registered(worker.entry, now_s)
        for silence in list(self.silences.values()):
            silent_s = wall_s - silence.since_s
            if silent_s > MAX_SILENCE_S:
                self.expire(silence)
            elif silent_s >= RECORD_DELAY_S and not silence.is_vanished:
                self.record_doubts(silence)
                self.suspect_lapsed(silence, now_s)
                self.find_vanished(silence, now_s, silent_s)
        for task in self.suspects.review(now_s):
            for number, record in task.crashes.items():
                task.crashes[number] = record.cleared()

    def record_doubts(self, silence: Silence) -> None:
        """Record the runs of a worker that may have crashed, once."""
        if silence.is_recorded:
            return
        silence.is_recorded = True
        for present in silence.runs.values():
            if not present.task.is_done:
                self.record(silence, present)

    def expire(self, silence: Silence) -> None:
        """End a silence that has lasted for long; what has been counted stays so."""
        del self.silences[silence.worker]
        for present in silence.runs.values():
            record = present.task.crashes.get(present.number)
            if record is not None and not record.is_counted:
                self.remove_record(present.task, present.number)

    def find_vanished(self, silence: Silence, now_s: float, silent_s: float) -> None:
        """Count a worker as vanished whose registration is gone and leases have lapsed.

        Until then, and for a limited time, its tasks that have lost runs before wait,
        so that no start is made without what the former one has shown.
        """
        worker = self.ledger.workers.get(silence.worker)
        if worker is not None and worker.entry.is_draining:
            self.end_silence(silence, now_s)
            return
        if worker is not None and worker.is_registered:
            silence.unregistered_s = None
        elif silence.unregistered_s is None:
            silence.unregistered_s = now_s
        blamable = [each for each in silence.runs.values() if each.is_recent]
        if worker is None and self.is_unregistered_for_good(silence):
            if blamable:
                self.crashed(silence, CrashEvidence.VANISHED, now_s)
        elif silent_s < UNDECIDED_S:
            for present in blamable:
                if has_crashed(present):
                    self.suspects.postpone(present.task, now_s + POSTPONEMENT_S)

    def is_unregistered_for_good(self, silence: Silence) -> bool:
        """Return True if a registration would have returned with the store by now."""
        if silence.unregistered_s is None:
            return False
        return_s = silence.unregistered_s + REGISTRATION_RETURN_S
        return self.ledger.authority_confirmed_s >= return_s

    def suspect_lapsed(self, silence: Silence, now_s: float) -> None:
        """Suspect the tasks that wait again while their worker may have crashed.

        Where several workers are silent at once, they are rather cut off.
        """
        if self.count_others(silence) >= COMMON_CAUSE_WORKERS:
            return
        for present, _, is_suspect in self.share_blame(silence):
            task = present.task
            is_waiting = task.is_waiting and not task.step.job.state.is_final
            if is_waiting and is_suspect and not self.suspects.is_suspect(task):
                self.suspects.add(task, present.age_s, now_s, silence.monotonic_s)

    def take_reports(self) -> list[CrashReport]:
        """Return the crashes since the last call, each once."""
        reports, self.reports = self.reports, []
        return reports


def may_coincide(first: Silence, second: Silence) -> bool:
    """Return True if two workers may have fallen silent at the same time."""
    gap_s = max(first.from_s, second.from_s) - min(first.since_s, second.since_s)
    return gap_s <= SIMULTANEOUS_S


def other_crashes(present: PresentRun) -> list[CrashRecord]:
    """Return the records of a task's other runs.

    That of the run itself is no reason to suspect it, if its worker has vanished first
    and another process has come later.
    """
    records = present.task.crashes.values()
    return [each for each in records if each.run != present.number]


def has_crashed(present: PresentRun) -> bool:
    """Return True if another run of a task was lost in a crash."""
    return any(record.is_counted for record in other_crashes(present))
