"""What is kept in the store of a job that has begun."""

import msgspec

__all__ = ["Progress", "decode_progress", "encode_progress"]


class StepProgress(msgspec.Struct, omit_defaults=True):
    """One occurrence of a step.

    ``done`` is a bit set of tasks. Failures, as the numbers of the runs that failed,
    and checkpoints are by a task's index.
    """

    occurrence: int
    step: int
    done: int = 0
    failures: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}


class Progress(msgspec.Struct, omit_defaults=True):
    """The ends of a job's tasks that workers need not list any more."""

    steps: list[StepProgress] = []


class StoredStep(msgspec.Struct, omit_defaults=True, array_like=True):
    """A step as stored: the bit set is hexadecimal, since it may be long."""

    occurrence: int
    step: int
    done: str = "0"
    failures: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}


def encode_progress(progress: Progress) -> bytes:
    """Return the JSON that the store keeps."""
    return msgspec.json.encode(
        [
            StoredStep(
                step.occurrence,
                step.step,
                f"{step.done:x}",
                {str(index): runs for index, runs in step.failures.items()},
                {str(index): value for index, value in step.checkpoints.items()},
            )
            for step in progress.steps
        ]
    )


def decode_progress(value: bytes) -> Progress:
    """Return what the store kept, or raise ``msgspec.MsgspecError``."""
    stored = msgspec.json.decode(value, type=list[StoredStep])
    return Progress(
        [
            StepProgress(
                step.occurrence,
                step.step,
                int(step.done, 16),
                {int(index): runs for index, runs in step.failures.items()},
                {int(index): text for index, text in step.checkpoints.items()},
            )
            for step in stored
        ]
    )
