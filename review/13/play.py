"""A minion that starts again behind a cut carries out orders to its former life."""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world_3 import World, job, main

LATE_SHARE = 0.055
LATE_FOR_S = 5.5
LATE_S = (2.0, 12.0)
CUT_S = 5.5
"""The doses of ``applied_late`` and of ``node_cut`` in the site file."""

CUTS_S = (4.0, 10.0)
"""When single minions are cut off, in seconds after the first late order."""

CRASH_AFTER_S = 0.5
DOWN_S = 1.0

TRAFFIC_S = 14.0
JOBS_PER_S = 10
TASKS = 24


class Lateness:
    """Have a share of the orders carried out late, for a while."""

    def __init__(self, world: World) -> None:
        """Begin now."""
        self.world = world
        self.until_s = world.record.now() + LATE_FOR_S
        self.random = random.Random(66)
        self.lock = threading.Lock()

    def of(self, _document: dict[str, object]) -> float | None:
        """Return after how many seconds an order is carried out, or None."""
        with self.lock:
            if self.world.record.now() > self.until_s:
                return None
            if self.random.random() >= LATE_SHARE:
                return None
            return self.random.uniform(*LATE_S)


def play(world: World) -> list[str]:
    """Run small jobs while orders are carried out late and minions are cut off."""
    record = world.record
    begin_s = record.now() + 3
    if world.trouble:

        def disturb() -> None:
            time.sleep(max(0.0, begin_s - record.now()))
            lateness = Lateness(world)
            for minion in world.minions:
                minion.lateness = lateness.of
            record.write("orders are carried out late from now on")
            for minion, at_s in zip(world.minions, CUTS_S, strict=False):
                time.sleep(max(0.0, begin_s + at_s - record.now()))
                cut = (CUT_S, CRASH_AFTER_S, DOWN_S)
                threading.Thread(target=minion.cut_off, args=cut).start()

        threading.Thread(target=disturb, daemon=True).start()
    senders = []
    for number in range(1, int(TRAFFIC_S * JOBS_PER_S) + 1):
        document = job(0.3, Count=TASKS, label="")
        path = f"/urgent/{number:016x}"
        sender = threading.Thread(target=world.submit, args=(path, document, number))
        sender.start()
        senders.append(sender)
        time.sleep(1 / JOBS_PER_S)
    for sender in senders:
        sender.join(20)
    time.sleep(15)
    end_s = record.now()
    broken = []
    by_task: dict[str, list[dict[str, object]]] = {}
    for row in world.history():
        by_task.setdefault(row["task"], []).append(row)
    for task, rows in by_task.items():
        for first in rows:
            for second in rows:
                if second is first or second["start"] < first["start"]:
                    continue
                until_s = end_s if first["end"] is None else first["end"]
                text = (
                    f"{task}: run {first['run']} on {first['minion']} from "
                    f"{first['start']:.2f} to {until_s:.2f} ({first['how']}); run "
                    f"{second['run']} on {second['minion']} from {second['start']:.2f}"
                )
                if second["start"] < until_s:
                    broken.append(f"TWICE: two runs at the same time, {text}")
                elif first["how"] == "done" and first["noted"]:
                    noted = f"taken note of at {first['noted']:.2f}"
                    broken.append(f"TWICE: a start after the end, {noted}, {text}")
    record.write(f"{len(by_task)} tasks")
    return broken


main(__file__, play)
