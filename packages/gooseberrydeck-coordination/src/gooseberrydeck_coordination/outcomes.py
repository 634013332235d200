"""What is known about the effect of a call that was attempted once or several times.

A loop over attempts, peers or addresses must not report the result of its last attempt
as that of the call: a refusal is true of one attempt only.
"""

from enum import Enum

__all__ = ["Outcome"]


class Outcome(Enum):
    """Whether a call has taken effect, or may do so later."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"

    def followed_by(self, later: "Outcome") -> "Outcome":
        """Return the outcome of a call after a later attempt at it.

        An attempt that ran makes the outcome certain; a refused one changes nothing.
        """
        return max(self, later, key=BY_EVIDENCE.index)


BY_EVIDENCE = (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.RAN)
"""From no evidence of an effect to a certain one."""
