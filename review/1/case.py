"""An entry of another writer that can't be read stops all scheduling."""

import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin_cell import Cell, NotRunError, finish, route, run, step

RECORD = Path(__file__).resolve().parent / "record.txt"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 6
FINISH_S = 14
WATCH_S = 3
DEPTH = 2_000


def unreadable_entry() -> bytes:
    """Return an entry with a value that is nested too deeply to be decoded."""
    entry = {
        "Service": "other",
        "Address": "127.0.0.1:9",
        "State": "ready",
        "Extra": "NESTED",
    }
    nested = "[" * DEPTH + "]" * DEPTH
    return json.dumps(entry).replace('"NESTED"', nested).encode()


def main() -> None:
    """Hand jobs in before and after the entry, and see whether they run."""
    cell = Cell(RECORD, members=3, minions=4)
    failures: list[str] = []
    try:
        cell.publish([route("quick")])
        cell.start()
        cell.submit("/quick/00000000000000a0", [300], [step(Count=2)])
        cell.wait("a job completed before", lambda: is_done(cell, "00000000000000a0"))
        if HAS_TROUBLE:
            cell.store.write("servers/other-1", unreadable_entry())
            cell.record.add("other writer", "writes servers/other-1, nested deeply")
            time.sleep(3)
        jobs = [f"{number:016x}" for number in range(0xB0, 0xB0 + JOBS)]
        for job in jobs:
            cell.submit(f"/quick/{job}", [300], [step(Count=2)])
        cell.record.add("client", "end of the traffic")
        time.sleep(FINISH_S + WATCH_S)
        for job in jobs:
            began = [each for each in cell.record.events_of(job) if each.how == "start"]
            status, answer = cell.call(cell.members[0], "GET", f"/quick/{job}")
            if not began:
                failures.append(
                    f"LOST: {job} was accepted, and nothing of it has run"
                    f" {FINISH_S + WATCH_S} s later; GET {status} {answer}"
                )
    except NotRunError as error:
        finish(cell, [], str(error))
    finish(cell, failures)


def is_done(cell: Cell, job: str) -> bool:
    """Return True if a job is shown as completed."""
    _, answer = cell.call(cell.members[0], "GET", f"/quick/{job}")
    return answer.get("State") == "completed"


if __name__ == "__main__":
    run(main)
