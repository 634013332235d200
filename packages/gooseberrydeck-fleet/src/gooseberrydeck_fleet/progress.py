"""The stored progress of a job that has started."""

import msgspec

from gooseberrydeck_coordination.decoding import DecodingError, decode_json
from gooseberrydeck_fleet.crash_records import CrashRecord

__all__ = ["Progress", "decode_progress", "encode_progress"]


class StepProgress(msgspec.Struct, omit_defaults=True):
    """The progress of one occurrence of a step.

    ``done`` is a bit set of task indexes. By task index, ``failures`` has the numbers
    of the failed runs, ``checkpoints`` the newest checkpoint, and ``crashes`` the runs
    that were or may have been lost with a crashed worker.
    """

    occurrence: int
    step: int
    done: int = 0
    failures: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}
    crashes: dict[int, list[CrashRecord]] = {}


class Progress(msgspec.Struct, omit_defaults=True):
    """The results of a job's tasks whose ends workers may forget."""

    steps: list[StepProgress] = []


class StoredStep(msgspec.Struct, omit_defaults=True, array_like=True):
    """The stored form of a step; the bit set is hexadecimal, since it may be long."""

    occurrence: int
    step: int
    done: str = "0"
    failures: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, list[CrashRecord]] = {}


def encode_progress(progress: Progress) -> bytes:
    """Return progress in its stored JSON form."""
    return msgspec.json.encode(
        [
            StoredStep(
                step.occurrence,
                step.step,
                f"{step.done:x}",
                {str(index): runs for index, runs in step.failures.items()},
                {str(index): value for index, value in step.checkpoints.items()},
                {str(index): records for index, records in step.crashes.items()},
            )
            for step in progress.steps
        ]
    )


def decode_progress(value: bytes) -> Progress:
    """Decode stored progress; raise ``DecodingError`` if it is malformed."""
    stored = decode_json(value, list[StoredStep])
    try:
        return Progress([to_step_progress(step) for step in stored])
    except ValueError as error:
        raise DecodingError.caused_by(error) from error


def to_step_progress(step: StoredStep) -> StepProgress:
    """Convert a step from its stored form; raise ``ValueError`` if it is malformed."""
    return StepProgress(
        step.occurrence,
        step.step,
        int(step.done, 16),
        {int(index): runs for index, runs in step.failures.items()},
        {int(index): text for index, text in step.checkpoints.items()},
        {int(index): records for index, records in step.crashes.items()},
    )
