"""Adoption of one worker by the owner of its shard."""

from enum import Enum

from gooseberrydeck_coordination.clock import Clock
from gooseberrydeck_coordination.ids import HostName
from gooseberrydeck_coordination.quarantine import Quarantine, lease_expiry_s

__all__ = ["AdoptionState", "WorkerAdoption"]


class AdoptionState(Enum):
    """What the owner knows of a worker.

    Tasks are started only on an ``ADOPTED`` worker: the list of what runs there is
    then exact. ``LAPSED`` is an unreachable worker on which nothing runs any more.
    ``SUPERSEDED`` is a worker that has seen a newer epoch.
    """

    UNADOPTED = "unadopted"
    ADOPTING = "adopting"
    QUARANTINED = "quarantined"
    ADOPTED = "adopted"
    LAPSED = "lapsed"
    SUPERSEDED = "superseded"


class WorkerAdoption:
    """Follow one worker through one epoch of its shard.

    Call ``begin_adopting`` before each adopting call and one of ``record_answer``,
    ``record_no_answer`` or ``record_superseded`` after it. ``quarantine`` is replaced
    when the shard's changes.
    """

    def __init__(self, host: HostName, quarantine: Quarantine, clock: Clock) -> None:
        """Begin with a worker of which nothing is known."""
        self.host = host
        self.quarantine = quarantine
        self.clock = clock
        self.phase = AdoptionState.UNADOPTED
        self.granted_sent_s = float("-inf")
        self.fenced_s: float | None = None
        self.unanswered_until_s = float("-inf")

    @property
    def state(self) -> AdoptionState:
        """Return the state now; a quarantine ends by itself."""
        if self.phase is not AdoptionState.QUARANTINED:
            return self.phase
        if self.clock.monotonic() >= self.leases_expired_s:
            return AdoptionState.LAPSED
        return AdoptionState.QUARANTINED

    @property
    def leases_expired_s(self) -> float:
        """Return from when on every lease granted on this worker has lapsed."""
        timing = self.quarantine.timing
        former_s = self.quarantine.leases_expired_s
        if self.fenced_s is not None:
            lease_s = timing.lengthen_for_drift(self.quarantine.task_lease_s)
            former_s = min(former_s, self.fenced_s + lease_s)
        return max(former_s, lease_expiry_s(timing, self.granted_sent_s))

    @property
    def may_start(self) -> bool:
        """Tell whether tasks may be placed on the worker."""
        return self.state is AdoptionState.ADOPTED

    @property
    def may_replace_tasks(self) -> bool:
        """Tell whether tasks that may have run here may be placed elsewhere.

        That does not end while a further adopting call is under way.
        """
        if self.phase in (AdoptionState.ADOPTED, AdoptionState.SUPERSEDED):
            return False
        return self.clock.monotonic() >= self.leases_expired_s

    @property
    def needs_adopting(self) -> bool:
        """Tell whether an adopting call should be made, now or again."""
        return self.state in (
            AdoptionState.UNADOPTED,
            AdoptionState.QUARANTINED,
            AdoptionState.LAPSED,
        )

    def begin_adopting(self) -> None:
        """Note that an adopting call is about to be sent."""
        self.phase = AdoptionState.ADOPTING

    def record_answer(self, sent_s: float, has_fencing: bool) -> bool:
        """Take in the worker's list; return whether it is exact.

        Without a fence the old owner may start tasks after the list was made, unless
        the call was sent when that owner was certainly silent. The same goes for this
        owner's own calls that were never answered.
        """
        is_old_owner_out = (
            has_fencing or sent_s >= self.quarantine.predecessor_stopped_s
        )
        if is_old_owner_out and sent_s >= self.unanswered_until_s:
            self.phase = AdoptionState.ADOPTED
            if self.fenced_s is None:
                self.fenced_s = self.clock.monotonic()
            return True
        self.phase = AdoptionState.QUARANTINED
        return False

    def record_no_answer(self) -> None:
        """Note a call without an answer; the worker has to be adopted again."""
        timing = self.quarantine.timing
        effect_s = timing.lengthen_for_drift(timing.call_effect_limit_s)
        self.unanswered_until_s = self.granted_sent_s + effect_s
        self.phase = AdoptionState.QUARANTINED

    def record_superseded(self) -> None:
        """Note that the worker has seen a newer epoch."""
        self.phase = AdoptionState.SUPERSEDED

    def record_grant_sent(self) -> None:
        """Note that a call that starts or renews tasks is about to be sent."""
        self.granted_sent_s = self.clock.monotonic()
