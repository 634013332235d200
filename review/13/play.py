"""A cancelling is acknowledged with 410, and the job is stored and runs afterwards."""

import json
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world_3 import BOUNDS, World, job, main

LOST_SHARE = 0.35
LOST_S = 4.5
LATE_S = (1.0, 6.0)
"""The dose of ``platform_lost``, ``how = late``, in the site file and its kinds."""

JOBS = 30
PATIENCE_S = 0.6
"""Within half of the objective of jobs with tasks that last (2,500 ms)."""

CALM_S = 10.0


class Loss:
    """Lose the answers of a share of the writes, which are done later."""

    def __init__(self, world: World) -> None:
        """Begin to lose answers now."""
        self.world = world
        self.until_s = world.record.now() + LOST_S
        self.random = random.Random(66)
        self.lock = threading.Lock()

    def lateness(self, document: dict[str, object]) -> float | None:
        """Return after how many seconds a write is done, or None if it is answered."""
        with self.lock:
            if self.world.record.now() > self.until_s:
                return None
            if self.random.random() >= LOST_SHARE:
                return None
            late_s = self.random.uniform(*LATE_S)
        keys = [row["Key"] for row in document.get("Writes") or []]  # type: ignore[attr-defined]
        self.world.record.write(f"store: write of {keys} is done {late_s:.1f} s late")
        return late_s


def hand_in(world: World, number: int, cancelled: dict[str, float]) -> None:
    """Hand a job in; without an answer in time, leave and cancel it at other nodes."""
    record = world.record
    name = f"{number:016x}"
    path = f"/urgent/{name}"
    body = json.dumps(job(0.5, Count=1, Cpu=100, LongRunning=True, label="unasked"))
    first = world.members[number % 3]
    status, _ = first.call("POST", path, body.encode(), PATIENCE_S)
    record.write(f"POST {path} at {first.name}: {status or 'no answer, client leaves'}")
    if status == 200:
        return
    for attempt in range(1, 7):
        member = world.members[(number + attempt) % 3]
        status, _ = member.call("DELETE", path)
        record.write(f"DELETE {path} at {member.name}: {status or 'no answer'}")
        if status in (200, 410):
            cancelled[name] = record.now()
            return


def play(world: World) -> list[str]:
    """Hand jobs in while answers of the store are lost, and cancel some of them."""
    record = world.record
    time.sleep(3)
    cancelled: dict[str, float] = {}
    if world.trouble:
        world.store.lateness = Loss(world).lateness
    clients = []
    for number in range(1, JOBS + 1):
        client = threading.Thread(target=hand_in, args=(world, number, cancelled))
        client.start()
        clients.append(client)
        time.sleep(LOST_S / JOBS)
    for client in clients:
        client.join(20)
    calm_s = record.now() + LATE_S[1] + CALM_S
    record.write(f"cancelled: {len(cancelled)} jobs")
    while record.now() < calm_s + 5:
        time.sleep(0.5)
    end_s = record.now()
    allowed_s = (BOUNDS["cancel_ms"] + BOUNDS["StopTimeoutMs"]) / 1000
    broken = []
    for name, at_s in cancelled.items():
        for row in world.history(name):
            until_s = end_s if row["end"] is None else row["end"]
            if until_s > max(at_s + allowed_s, calm_s):
                broken.append(
                    f"UNASKED: {row['task']} started at {row['start']:.1f} and runs at "
                    f"{until_s:.1f}; its cancelling was acknowledged at {at_s:.1f}; "
                    f"state {world.state(f'/urgent/{name}')}"
                )
    return broken


main(Path(__file__).resolve().parent / "record.txt", play)
