"""A gang that waits for its tenant's limit keeps all less urgent jobs from starting."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from world_3 import World, configuration, job, main

FORMER_MAXIMUM = 120_000
MAXIMUM = 60_000
LASTING_TASKS = 4
LASTING_CPU = 5_000
GANG_TASKS = 5
GANG_CPU = 10_000
ORDINARY_JOBS = 10
IDLE_S = 3.0
FINISH_S = 14.0


def play(world: World) -> list[str]:
    """Lower a tenant's limit, hand a gang in, and ordinary jobs after it."""
    record = world.record
    world.store.put("op/config", configuration(2, FORMER_MAXIMUM))
    record.write(f"configuration 2: Maximum {FORMER_MAXIMUM}")
    time.sleep(4)
    fields = {"Count": LASTING_TASKS, "Cpu": LASTING_CPU, "LongRunning": True}
    lasting = job(0.5, label="lasting", **fields)
    if world.submit("/urgent/00000000000000aa", lasting) != 200:
        raise RuntimeError("the lasting job isn't accepted")
    time.sleep(3)
    if world.trouble:
        world.store.put("op/config", configuration(3, MAXIMUM))
        record.write(f"configuration 3: Maximum {MAXIMUM}")
    time.sleep(8)
    gang = job(1.0, Count=GANG_TASKS, Cpu=GANG_CPU, Gang=True, label="gang")
    if world.submit("/urgent/00000000000000bb", gang, 1) != 200:
        raise RuntimeError("the gang isn't accepted")
    time.sleep(2)
    accepted: dict[str, float] = {}
    for number in range(1, ORDINARY_JOBS + 1):
        name = f"{number:016x}"
        if world.submit(f"/slow/{name}", job(0.3), number) == 200:
            accepted[name] = record.now()
        time.sleep(1)
    record.write("end of the traffic")
    time.sleep(FINISH_S)
    end_s = record.now()
    running = [row for row in world.history() if row["end"] is None]
    used = LASTING_CPU * sum(row["label"] == "lasting" for row in running)
    used += GANG_CPU * sum(row["label"] == "gang" for row in running)
    record.write(f"the tenant has {used} running")
    broken = []
    for name, from_s in accepted.items():
        rows = world.history(name)
        is_done = len({row["task"] for row in rows if row["how"] == "done"}) == 2
        until_s = max(row["end"] for row in rows) if is_done else end_s
        idle = [
            (a, b) for a, b in world.idle_spans(rows, from_s, until_s) if b - a > IDLE_S
        ]
        if idle and 2 * used < MAXIMUM:
            spans = ", ".join(f"{a:.1f} to {b:.1f}" for a, b in idle)
            broken.append(
                f"LOST: {name}, accepted at {from_s:.1f}, had nothing running from "
                f"{spans}; state {world.state(f'/slow/{name}')}; its tenant has {used} "
                f"of {MAXIMUM} running"
            )
    return broken


main(Path(__file__).resolve().parent / "record.txt", play)
