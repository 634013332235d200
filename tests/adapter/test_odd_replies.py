"""Tests of replies of workers that are malformed."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeck_adapter import HttpWorker
from gooseberrydeck_adapter.names import parse_task_name
from gooseberrydeck_coordination.ids import Epoch, JobId
from gooseberrydeck_fleet.ids import TaskRef, WorkerId
from gooseberrydeck_fleet.worker_calls import (
    PollReply,
    StartRequest,
    WorkerCallError,
    WorkerSilentError,
)
from gooseberrydeck_platform.http import HttpAddress, HttpResponse
from odd_values import JSON_VALUES, ODD_NUMBERS, deep, json_bytes, with_raw

TASK = TaskRef(JobId("a"), 0, 0, 0)
WORKER = WorkerId("w1")
TOKEN = Epoch(3)
NOWHERE = HttpAddress("127.0.0.1", 1)
RUN: list[object] = ["a.0.0.0", 1, "", 41, 200]
END: list[object] = [7, "a.0.0.1", 1, "done", ""]
HOLD: dict[str, object] = {
    "ClockMs": 500,
    "born": 1_700_000_000_000,
    "Running": [RUN],
    "Ended": [END],
}

number_cases = pytest.mark.parametrize(
    "number",
    [each for each in ODD_NUMBERS if each != b"1.5"],
    ids=lambda each: each[:12].decode(),
)


class ScriptedWorker(HttpWorker):
    """A client whose calls are all answered by one body."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        super().__init__(WORKER, NOWHERE)
        self.response = HttpResponse(status, {}, body)

    def call(self, *_arguments: object) -> HttpResponse:
        return self.response

    def hold(self) -> PollReply:
        return self.poll(TOKEN, 0, 4_000, 0.0, 1.0)


def replaced(row: list[object], index: int) -> list[object]:
    """Return a row with a place for a raw value."""
    return [*row[:index], "RAW", *row[index + 1 :]]


def with_odd_rows(rows: list[list[object]], ends: list[list[object]]) -> bytes:
    """Return a reply in which rows begin like valid ones and go on otherwise."""
    running = [[*RUN[: 5 - len(row)], *row] for row in rows if len(row) <= 5]
    ended = [[*END[: 5 - len(row)], *row] for row in ends if len(row) <= 5]
    return msgspec.json.encode({**HOLD, "Running": running, "Ended": ended})


class TestOddReplies:
    def test_reply_is_read(self) -> None:
        reply = ScriptedWorker(msgspec.json.encode(HOLD)).hold()
        assert (reply.clock_ms, reply.runs[0].progress) == (500, 41.0)
        assert (reply.runs[0].load, reply.ends[0].number) == (200.0, 7)

    # Guards against holders that crash one after the other: a clock of 400 digits fits
    # no float, and the lease of the worker is computed with it.
    @number_cases
    @pytest.mark.parametrize("field", ["ClockMs", "born"])
    def test_number_out_of_range(self, field: str, number: bytes) -> None:
        body = with_raw({**HOLD, field: "RAW"}, number)
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body).hold()
        request = StartRequest(TASK, 1, "", 5_000)
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body).start(request, TOKEN, 1.0)
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body).stop(TASK, 1, TOKEN, 1.0)
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body).throttle(TASK, 1, 50, TOKEN, 1.0)

    @number_cases
    @pytest.mark.parametrize("index", [1, 3, 4])
    def test_number_of_a_run_out_of_range(self, index: int, number: bytes) -> None:
        body = with_raw({**HOLD, "Running": [replaced(RUN, index)]}, number)
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body).hold()

    # Guards against a progress that is no number, which compares with nothing.
    @pytest.mark.parametrize("text", ["nan", "inf", "-inf", "1e400"])
    @pytest.mark.parametrize("index", [3, 4])
    def test_number_of_a_run_in_quotes(self, index: int, text: str) -> None:
        rows = [[*RUN[:index], text, *RUN[index + 1 :]]]
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(msgspec.json.encode({**HOLD, "Running": rows})).hold()

    @number_cases
    @pytest.mark.parametrize("index", [0, 2])
    def test_number_of_an_end_out_of_range(self, index: int, number: bytes) -> None:
        body = with_raw({**HOLD, "Ended": [replaced(END, index)]}, number)
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body).hold()

    # Guards against RecursionError, which no caller of the client expects.
    @pytest.mark.parametrize("levels", [2_000, 100_000])
    @pytest.mark.parametrize("field", ["ClockMs", "Running", "Ended", "Reason", "X"])
    def test_deeply_nested_field(self, field: str, levels: int) -> None:
        body = with_raw({**HOLD, field: "RAW"}, deep(levels))
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body).hold()
        with pytest.raises(WorkerSilentError):
            ScriptedWorker(body, 409).start(StartRequest(TASK, 1, "", 0), TOKEN, 1.0)

    @pytest.mark.parametrize(
        "name",
        ["a.0.0.1_0", "a.0.0. 1", "a.0.0.+1", "a.0.0.\u0663", "a.0.0." + "9" * 400],
    )
    def test_task_number_that_is_none(self, name: str) -> None:
        with pytest.raises(ValueError, match="name of a task"):
            parse_task_name(name)

    @pytest.mark.parametrize("kind", ["gone", "", "x" * 100_000])
    def test_unknown_kind_of_end(self, kind: str) -> None:
        rows = [[*END[:3], kind, ""]]
        with pytest.raises(WorkerSilentError) as raised:
            ScriptedWorker(msgspec.json.encode({**HOLD, "Ended": rows})).hold()
        assert len(str(raised.value)) < 500

    @given(
        json_bytes(HOLD)
        | st.binary(max_size=100)
        | st.builds(
            with_odd_rows,
            st.lists(st.lists(JSON_VALUES, max_size=6), max_size=2),
            st.lists(st.lists(JSON_VALUES, max_size=6), max_size=2),
        )
    )
    def test_any_reply_is_read_or_refused(self, body: bytes) -> None:
        try:
            reply = ScriptedWorker(body).hold()
        except WorkerCallError:
            return
        assert all(math.isfinite(run.progress + run.load) for run in reply.runs)
        assert msgspec.json.decode(msgspec.json.encode(reply), type=PollReply) == reply
