"""Returning shares to jobs that were beyond them.

A job that arrives while its team's bucket is empty is beyond the share. As tokens
become available, the team's waiting jobs count as within it, so that a team whose burst
is over isn't ranked behind others for as long as its jobs wait.
"""

from gooseberrydeck_coordination.ids import JobId
from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.shares import ShareTracker, acceptance_order
from gooseberrydeck_fleet.state import Job
from gooseberrydeck_fleet.waiting import WaitingSteps

__all__ = ["ShareReturner"]


class ShareReturner:
    """Give tokens to the oldest waiting jobs beyond their team's share.

    Jobs that can still end on time go before late ones, as in the order of steps.
    """

    def __init__(
        self, ledger: Ledger, shares: ShareTracker, waiting: WaitingSteps
    ) -> None:
        """Return the shares of one tracker to jobs with waiting steps."""
        self.ledger = ledger
        self.shares = shares
        self.waiting = waiting

    def run(self) -> None:
        """Spend the tokens that have become available since the last call."""
        for team, jobs in list(self.waiting.beyond.items()):
            if not self.shares.has_token(team):
                continue
            waiting = [job for job in jobs.values() if not job.state.is_final]
            for job in sorted(waiting, key=self.return_order):
                if not self.shares.take_token(team):
                    break
                job.return_share(self.shares.clock_s)
                self.ledger.touch(job)

    def return_order(self, job: Job) -> tuple[bool, tuple[float, int, JobId]]:
        """Return the key by which waiting jobs of a team are in the order of return."""
        waiting = self.waiting
        is_late = any(waiting.ranks[ref][2] for ref in waiting.by_job[job.id])
        return is_late, acceptance_order(job)
