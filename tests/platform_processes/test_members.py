"""Tests of member processes on the local stand-ins of the platform."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest

from gooseberrydeck_adapter_standins.local_platform import (
    LocalPlatform,
    default_configuration,
    job_body,
)
from gooseberrydeck_standins.faults import FaultKind
from gooseberrydeck_standins.processes import wait_for
from odd_values import ODD_ADDRESSES, ODD_NUMBERS, deep, with_raw

MEMBERS = ("m1", "m2", "m3")
JOBS = 12
WAIT_S = 60.0


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[LocalPlatform]:
    with LocalPlatform(tmp_path) as platform:
        platform.publish(default_configuration())
        platform.add_workers(4)
        for name in MEMBERS:
            platform.add_member(name)
        platform.wait_ready()
        wait_for(lambda: platform.holder() is not None, "a holder", WAIT_S)
        yield platform


def path_of(number: int, queue: str = "slow") -> str:
    return f"/{queue}/{number:016x}"


def submit_until_accepted(cell: LocalPlatform, path: str, body: bytes) -> None:
    """Submit a job to any member, retrying with the same id until it is accepted."""

    def is_accepted() -> bool:
        for member in list(cell.members.values()):
            response = member.call("POST", path, body) if member.is_alive() else None
            if response is not None and response.status == 200:
                return True
        return False

    wait_for(is_accepted, f"{path} is accepted", WAIT_S)


def wait_state(cell: LocalPlatform, path: str, state: bytes) -> None:
    """Wait until any member reports a job in a state."""

    def is_reported() -> bool:
        for member in list(cell.members.values()):
            response = member.call("GET", path) if member.is_alive() else None
            if response is not None and state in response.body:
                return True
        return False

    wait_for(is_reported, f"{path} is {state.decode()}", WAIT_S)


def kill_holder(cell: LocalPlatform) -> None:
    holder = cell.holder()
    assert holder is not None
    holder.kill()


def pause_holder(cell: LocalPlatform) -> None:
    holder = cell.holder()
    assert holder is not None
    holder.pause()
    wait_for(lambda: cell.holder() is not holder, "a new holder", WAIT_S)
    holder.resume()


def kill_all(cell: LocalPlatform) -> None:
    for member in cell.members.values():
        member.kill()
    for name in MEMBERS:
        cell.add_member(name)


def interrupt_store(cell: LocalPlatform) -> None:
    cell.store.set_fault(FaultKind.DOWN)
    time.sleep(2.0)
    cell.store.set_fault(FaultKind.NONE)


def lose_store_responses(cell: LocalPlatform) -> None:
    cell.store.set_fault(FaultKind.ANSWER_LOST, calls=10)


def compact_store_history(cell: LocalPlatform) -> None:
    cell.store.put("/compact")


def replace_workers(cell: LocalPlatform) -> None:
    cell.workers[0].kill()
    cell.add_workers(2)


def replace_members(cell: LocalPlatform) -> None:
    for name in MEMBERS:
        cell.members[name].terminate()
        assert cell.members[name].wait() == 0
        cell.add_member(name)
        wait_for(cell.members[name].is_ready, f"{name} is ready", WAIT_S)


FAULTS: dict[str, Callable[[LocalPlatform], None]] = {
    "kill -9 of the holder": kill_holder,
    "a paused holder that wakes up": pause_holder,
    "kill -9 of every member": kill_all,
    "the store is down": interrupt_store,
    "answers of the store are lost": lose_store_responses,
    "the store forgets its history": compact_store_history,
    "workers are killed, others come": replace_workers,
    "every member is replaced in turn": replace_members,
}


class TestStopping:
    def test_stopping_member_responds_until_it_exits(self, cell: LocalPlatform) -> None:
        member = cell.members[MEMBERS[0]]
        path = f"/slow/{1:016x}"
        member.call("POST", path, job_body())
        member.terminate()
        statuses = []
        while member.is_alive():
            response = member.call("GET", path)
            if response is not None:
                statuses.append(response.status)
        assert member.wait() == 0
        assert set(statuses) == {200}


class TestLedgers:
    def test_runs_of_killed_workers_are_kept(self, cell: LocalPlatform) -> None:
        path = path_of(1)
        submit_until_accepted(cell, path, job_body(tasks=3))
        wait_state(cell, path, b"completed")
        cell.kill_worker(cell.workers[0])
        assert len(cell.spans()) == 3
        assert cell.violations() == []


class TestFaults:
    @pytest.mark.parametrize("case", FAULTS)
    def test_accepted_jobs_complete_and_nothing_runs_twice(
        self, cell: LocalPlatform, case: str
    ) -> None:
        body = job_body(seconds=0.6, tasks=3, steps=2)
        for number in range(JOBS):
            submit_until_accepted(cell, path_of(number), body)
        FAULTS[case](cell)
        submit_until_accepted(cell, path_of(JOBS), body)
        for number in range(JOBS + 1):
            wait_state(cell, path_of(number), b"completed")
        assert cell.violations() == []


class TestCrashingTasks:
    # Guards against a task that takes down one worker after the other.
    def test_task_that_crashes_its_workers_fails_its_job_only(
        self, cell: LocalPlatform
    ) -> None:
        body = job_body(seconds=0.6, tasks=3)
        submit_until_accepted(cell, path_of(1), job_body(tasks=2, crashing=0))
        for number in range(2, JOBS):
            submit_until_accepted(cell, path_of(number), body)
        wait_state(cell, path_of(1), b"failed")
        for number in range(2, JOBS):
            wait_state(cell, path_of(number), b"completed")
        response = cell.members["m1"].call("GET", path_of(1))
        assert response is not None
        assert "crashed" in response.headers["x-failure-reason"]
        assert cell.violations() == []


class TestCallers:
    def test_any_member_reports_any_job(self, cell: LocalPlatform) -> None:
        submit_until_accepted(cell, path_of(1), job_body(seconds=0.2))
        wait_state(cell, path_of(1), b"completed")
        for member in cell.members.values():
            response = member.call("GET", path_of(1))
            assert response is not None
            assert b"completed" in response.body
            missing = member.call("GET", path_of(2))
            assert missing is not None
            assert missing.status == 410

    def test_running_job_can_be_cancelled(self, cell: LocalPlatform) -> None:
        body = job_body(tasks=2, LongRunning=True)
        submit_until_accepted(cell, path_of(1), body)
        wait_state(cell, path_of(1), b"running")
        response = cell.members["m1"].call("DELETE", path_of(1))
        assert response is not None
        assert response.status == 200
        wait_state(cell, path_of(1), b"cancelled")

    def test_withdrawn_key_is_refused_by_all_members(self, cell: LocalPlatform) -> None:
        configuration = default_configuration(2)
        configuration["Tenants"][0]["ApiKeys"] = ["another"]
        cell.publish(configuration)
        for member in cell.members.values():
            wait_for(
                lambda member=member: status_of(member.call("GET", "/slow/")) == 401,
                "the key is refused",
                WAIT_S,
            )

    def test_metrics_endpoint_responds(self, cell: LocalPlatform) -> None:
        member = cell.members["m1"]
        member.call("GET", "/slow/")
        assert member.status("GET", "/metrics", member.peer_address) == 200


def status_of(response: object) -> int:
    """Return the status of a response, or 0 without a response."""
    return int(getattr(response, "status", 0))


class TestOddEntries:
    # Guards against members that end by themselves, or stop following the workers,
    # beside entries that another writer has left.
    def test_jobs_run_beside_entries_of_another_writer(
        self, cell: LocalPlatform
    ) -> None:
        entry: dict[str, object] = {
            "Service": "desk",
            "Address": "127.0.0.1:9",
            "State": "ready",
            "Capacity": {"Cpu": 4_000, "MemMb": 10},
        }
        odd = [
            with_raw({**entry, "Extra": "RAW"}, deep(2_000)),
            with_raw({**entry, "Extra": "RAW"}, deep(100_000)),
            *(with_raw({**entry, "RemainingMs": "RAW"}, each) for each in ODD_NUMBERS),
            *(with_raw({**entry, "born": "RAW"}, each) for each in ODD_NUMBERS),
            *(
                msgspec.json.encode({**entry, "Address": each})
                for each in ODD_ADDRESSES
            ),
            b"\xff",
        ]
        for number, value in enumerate(odd):
            cell.write(f"servers/odd-{number}", value)
        submit_until_accepted(cell, path_of(1), job_body())
        wait_state(cell, path_of(1), b"completed")
        kill_holder(cell)
        # A member that follows the list knows the new workers.
        cell.workers[0].kill()
        cell.add_workers(4)
        cell.write("servers/odd-0", odd[-1])
        submit_until_accepted(cell, path_of(2), job_body())
        wait_state(cell, path_of(2), b"completed")
        assert sum(member.is_alive() for member in cell.members.values()) == 2
        assert cell.violations() == []
