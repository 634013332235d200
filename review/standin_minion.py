"""Stand-in of a minion."""

import json
import threading
import time

from standin_record import Record
from standin_store import Store
from standin_web import NO_ANSWER, Answer, Call, WebServer, json_answer

__all__ = ["Minion"]

HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
STEP_S = 0.01
MAX_HOLD_MS = 6_000
MAX_WAIT_MS = 2_000
MAX_ENDS = 500
STOP_S = 0.3
"""Time that a stop takes, below ``StopTimeoutMs``."""


class Run:
    """A run in progress."""

    def __init__(self, number: int, work_s: float | None) -> None:
        """Begin a run that takes ``work_s``, or lasts if that is None."""
        self.number = number
        self.work_s = work_s
        self.began_s = time.monotonic()
        self.stops_s: float | None = None

    def percent(self) -> int:
        """Return how much of the work is done; 100 for a task that lasts."""
        if self.work_s is None:
            return 100
        return min(99, int(100 * (time.monotonic() - self.began_s) / self.work_s))


class Life:
    """A process of a minion, which knows nothing of those before it."""

    def __init__(self) -> None:
        """Start now, with a clock at zero."""
        self.born = int(time.time() * 1000)
        self.began_s = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.runs: dict[str, Run] = {}
        self.ended: list[list[object]] = []
        self.last_number = 0
        self.rejected: dict[str, int] = {}

    def clock_ms(self) -> int:
        """Return the steady clock of the process."""
        return int((time.monotonic() - self.began_s) * 1000)


class Minion:
    """A minion with its entry in the store; its port stays over its lives."""

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        service: str = "desk",
        cpu: int = 32_000,
        mem_mb: int = 65_536,
    ) -> None:
        """Start the first life."""
        self.name = name
        self.store = store
        self.record = record
        self.service = service
        self.capacity = {"Cpu": cpu, "MemMb": mem_mb, "Gpu": 0}
        self.lock = threading.Lock()
        self.life: Life | None = Life()
        self.seq = 0
        # The links to all machines are cut: what arrives gets no answer.
        self.is_cut = threading.Event()
        self.is_healed = threading.Event()
        # Names of tasks whose next start is neither answered nor executed now.
        self.held_starts: dict[str, dict[str, object]] = {}
        self.hold_start_of = ""
        self.last_beat_s = 0.0
        self.server = WebServer(self.handle)
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.work, daemon=True).start()

    # Registration.

    def beat(self) -> None:
        """Write the entry at each heartbeat, and let it expire in silence."""
        known_born = 0
        while True:
            life, now_s = self.life, time.monotonic()
            is_due = now_s - self.last_beat_s >= HEARTBEAT_S
            if life is not None and (is_due or life.born != known_born):
                self.last_beat_s = now_s
                known_born = life.born
                self.seq += 1
                self.store.write_json(f"servers/{self.name}", self.entry(life))
            silent_s = now_s - self.last_beat_s
            if life is None and known_born and silent_s > SILENT_HEARTBEATS * 1.5:
                known_born = 0
                self.record.add(self.name, "entry expires")
                self.store.remove(f"servers/{self.name}")
            time.sleep(0.02)

    def entry(self, life: Life) -> dict[str, object]:
        """Return the minion's report about itself."""
        return {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": "zone-1",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": self.seq,
            "born": life.born,
            "Capacity": self.capacity,
            "Labels": ["a", "r1"],
        }

    # Life and death.

    def crash(self) -> None:
        """End the process; what runs there ends with it."""
        with self.lock:
            life, self.life = self.life, None
        self.record.add(self.name, "crashes")
        if life is not None:
            for task, run in life.runs.items():
                self.record.run_event(self.name, task, run.number, "lost")

    def restart(self) -> None:
        """Start again under the same id."""
        with self.lock:
            self.life = Life()
        self.record.add(self.name, f"starts again, born {self.life.born}")

    def cut(self) -> None:
        """Cut the links to all machines of the system, silently."""
        self.record.add(self.name, "is cut off from all machines")
        self.is_healed.clear()
        self.is_cut.set()

    def heal(self) -> None:
        """End the cut."""
        self.record.add(self.name, "is reachable again")
        self.is_cut.clear()
        self.is_healed.set()

    # Runs.

    def work(self) -> None:
        """End runs whose work is done, that were stopped, or whose lease is over."""
        while True:
            time.sleep(STEP_S)
            with self.lock:
                life = self.life
                if life is None:
                    continue
                now_s = time.monotonic()
                has_lapsed = life.clock_ms() >= life.lease_ms
                for task, run in list(life.runs.items()):
                    work_s = run.work_s
                    if has_lapsed:
                        self.end(life, task, "lapsed")
                    elif run.stops_s is not None and now_s >= run.stops_s:
                        self.end(life, task, "stopped")
                    elif work_s is not None and now_s >= run.began_s + work_s:
                        self.end(life, task, "done")

    def end(self, life: Life, task: str, how: str) -> None:
        """End a run and list its end; the caller holds the lock."""
        run = life.runs.pop(task)
        life.last_number += 1
        life.ended.append([life.last_number, task, run.number, how, ""])
        life.rejected[task] = max(life.rejected.get(task, 0), run.number)
        self.record.run_event(self.name, task, run.number, how)

    # Calls.

    def handle(self, call: Call) -> Answer:
        """Serve a call, or stay silent behind a cut."""
        if self.is_cut.is_set():
            self.is_healed.wait(30)
            return NO_ANSWER
        if self.life is None:
            return NO_ANSWER
        if call.headers.get("X-Expect-Instance", self.name) != self.name:
            return json_answer(421, {})
        body = call.json()
        if call.path == "/hold":
            answer = self.hold(body)
        elif call.path == "/run-start":
            if self.hold_start_of and body["Task"].startswith(self.hold_start_of):
                self.hold_start_of = ""
                self.held_starts[body["Task"]] = body
                self.record.add(self.name, f"start not answered: {json.dumps(body)}")
                self.is_healed.clear()
                self.is_healed.wait(12)
                return NO_ANSWER
            answer = self.start(body)
        elif call.path == "/run-stop":
            answer = self.stop(body)
        elif call.path == "/pace":
            answer = self.reply(200)
        else:
            answer = json_answer(404, {})
        # Answers of before a cut don't arrive during it.
        return NO_ANSWER if self.is_cut.is_set() else answer

    def reply(self, status: int, **fields: object) -> Answer:
        """Return an answer with the clock; without one if the process has ended."""
        life = self.life
        if life is None:
            return NO_ANSWER
        body = {"ClockMs": life.clock_ms(), "born": life.born, **fields}
        return json_answer(status, body)

    def is_fenced(self, life: Life, body: dict[str, object]) -> bool:
        """Note the fencing token; return True if a higher one was seen."""
        token = int(str(body.get("FencingToken") or 0))
        if token < life.fence:
            return True
        life.fence = token
        return False

    def extend(self, life: Life, deadline_ms: int) -> None:
        """Extend the lease of all runs."""
        deadline_ms = min(deadline_ms, life.clock_ms() + MAX_HOLD_MS)
        life.lease_ms = max(life.lease_ms, deadline_ms)

    def hold(self, body: dict[str, object]) -> Answer:
        """Extend the lease, and list runs and ends once there is an end."""
        end_s = (
            time.monotonic() + min(MAX_WAIT_MS, int(str(body.get("WaitMs", 0)))) / 1000
        )
        is_first = True
        last_seen = int(str(body.get("LastSeen") or 0))
        first_life = self.life
        while True:
            with self.lock:
                life = self.life
                if life is None or life is not first_life:
                    return NO_ANSWER
                if is_first:
                    if self.is_fenced(life, body):
                        return self.reply(409, Reason="fence")
                    if body.get("DeadlineMs"):
                        self.extend(life, int(str(body["DeadlineMs"])))
                    is_first = False
                life.ended = [e for e in life.ended if int(str(e[0])) > last_seen]
                if life.ended or time.monotonic() >= end_s:
                    running = [
                        [task, run.number, "", run.percent(), 0]
                        for task, run in life.runs.items()
                    ]
                    return self.reply(200, Running=running, Ended=life.ended[:MAX_ENDS])
            time.sleep(STEP_S)

    def start(self, body: dict[str, object]) -> Answer:
        """Start a run."""
        task, number = str(body["Task"]), int(str(body["Run"]))
        with self.lock:
            life = self.life
            if life is None:
                return NO_ANSWER
            if self.is_fenced(life, body):
                self.record.add(
                    self.name, f"start refused (fence): {task} run {number}"
                )
                return self.reply(409, Reason="fence")
            present = life.runs.get(task)
            if present is not None and present.number == number:
                return self.reply(200)
            deadline_ms = int(str(body["DeadlineMs"]))
            if deadline_ms <= life.clock_ms():
                self.record.add(self.name, f"start refused (late): {task} run {number}")
                return self.reply(409, Reason="late")
            self.extend(life, deadline_ms)
            if present is not None or number <= life.rejected.get(task, 0):
                self.record.add(self.name, f"start refused (old): {task} run {number}")
                return self.reply(409, Reason="old")
            works_ms = json.loads(str(body["Spec"]))["ms"]
            work_ms = works_ms[int(task.split(".")[2])]
            life.runs[task] = Run(number, work_ms / 1000 if work_ms else None)
            self.record.run_event(self.name, task, number, "start")
        return self.reply(200)

    def stop(self, body: dict[str, object]) -> Answer:
        """Stop a run, or reject a start of it that comes later."""
        task, number = str(body["Task"]), int(str(body["Run"]))
        with self.lock:
            life = self.life
            if life is None:
                return NO_ANSWER
            if self.is_fenced(life, body):
                return self.reply(409, Reason="fence")
            run = life.runs.get(task)
            if run is None or run.number != number:
                life.rejected[task] = max(life.rejected.get(task, 0), number)
            elif run.stops_s is None:
                run.stops_s = time.monotonic() + STOP_S
        return self.reply(200)
