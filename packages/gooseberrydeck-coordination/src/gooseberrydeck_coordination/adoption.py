"""Adoption of a worker by the new owner of its shard."""

from enum import Enum

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.quarantine import Quarantine, lease_expiry_s

__all__ = ["AdoptionState", "WorkerAdoption"]


class AdoptionState(Enum):
    """What the owner of a shard knows about one of its workers.

    Tasks are started only on an ``ADOPTED`` worker, for which the list of running
    tasks is exact. On a ``LAPSED`` worker, which was not adopted in time, every task
    lease has expired, so nothing runs. A ``SUPERSEDED`` worker has seen a newer epoch.
    """

    UNADOPTED = "unadopted"
    ADOPTING = "adopting"
    QUARANTINED = "quarantined"
    ADOPTED = "adopted"
    LAPSED = "lapsed"
    SUPERSEDED = "superseded"


class WorkerAdoption:
    """Track the adoption of one worker during one epoch of its shard.

    Call ``begin_adopting`` before each adopting call, and ``record_answer``,
    ``record_no_answer`` or ``record_superseded`` after it. The caller replaces
    ``quarantine`` whenever that of the shard changes.
    """

    def __init__(self, host: HostName, quarantine: Quarantine, clock: Clock) -> None:
        """Initialize with a worker that has not been called yet."""
        self.host = host
        self.quarantine = quarantine
        self.clock = clock
        self.phase = AdoptionState.UNADOPTED
        self.last_grant_sent_s = float("-inf")
        self.fenced_s: float | None = None
        self.unanswered_until_s = float("-inf")

    @property
    def state(self) -> AdoptionState:
        """The current state; a quarantine ends when the task leases expire."""
        if self.phase is not AdoptionState.QUARANTINED:
            return self.phase
        if self.clock.monotonic() >= self.leases_expired_s:
            return AdoptionState.LAPSED
        return AdoptionState.QUARANTINED

    @property
    def leases_expired_s(self) -> float:
        """The time at which every task lease granted on this worker has expired."""
        timing = self.quarantine.timing
        former_s = self.quarantine.leases_expired_s
        if self.fenced_s is not None:
            lease_s = timing.lengthen_for_drift(self.quarantine.task_lease_s)
            former_s = min(former_s, self.fenced_s + lease_s)
        return max(former_s, lease_expiry_s(timing, self.last_grant_sent_s))

    @property
    def may_start(self) -> bool:
        """Whether tasks may be placed on the worker."""
        return self.state is AdoptionState.ADOPTED

    @property
    def may_replace_tasks(self) -> bool:
        """Whether tasks that may have run on the worker may be placed elsewhere.

        This remains true while another adopting call is in progress.
        """
        if self.phase in (AdoptionState.ADOPTED, AdoptionState.SUPERSEDED):
            return False
        return self.clock.monotonic() >= self.leases_expired_s

    @property
    def needs_adopting(self) -> bool:
        """Whether an adopting call should be made."""
        return self.state in (
            AdoptionState.UNADOPTED,
            AdoptionState.QUARANTINED,
            AdoptionState.LAPSED,
        )

    def begin_adopting(self) -> None:
        """Record that an adopting call is about to be sent."""
        self.phase = AdoptionState.ADOPTING

    def record_answer(self, sent_s: float, has_fencing: bool) -> bool:
        """Record that the worker listed its tasks; return whether the list is exact.

        On a worker without fencing, the previous owner may start tasks after the list
        was made, unless the call was sent when that owner had certainly stopped.
        Likewise, unanswered calls of this owner may still take effect.
        """
        is_predecessor_excluded = (
            has_fencing or sent_s >= self.quarantine.predecessor_stopped_s
        )
        if is_predecessor_excluded and sent_s >= self.unanswered_until_s:
            self.phase = AdoptionState.ADOPTED
            if self.fenced_s is None:
                self.fenced_s = self.clock.monotonic()
            return True
        self.phase = AdoptionState.QUARANTINED
        return False

    def record_no_answer(self) -> None:
        """Record a call without an answer; the worker has to be adopted again."""
        timing = self.quarantine.timing
        effect_s = timing.lengthen_for_drift(timing.call_effect_limit_s)
        self.unanswered_until_s = self.last_grant_sent_s + effect_s
        self.phase = AdoptionState.QUARANTINED

    def record_superseded(self) -> None:
        """Record that the worker has seen a newer epoch."""
        self.phase = AdoptionState.SUPERSEDED

    def record_grant_sent(self) -> None:
        """Record that a call that starts or renews tasks is about to be sent."""
        self.last_grant_sent_s = self.clock.monotonic()
