"""Returning shares to jobs that were beyond them.

A job that arrives while its team's bucket is empty is beyond the share. As tokens
become available, the team's waiting jobs count as within it, so that a team whose burst
is over isn't ranked behind others for as long as its jobs wait. A job that can't end on
time any more gets none: the token is of more use to one that arrives.
"""

from gooseberrydeck_fleet.ledger import Ledger
from gooseberrydeck_fleet.shares import ShareTracker, acceptance_order
from gooseberrydeck_fleet.state import Job
from gooseberrydeck_fleet.waiting import WaitingSteps

__all__ = ["ShareReturner"]


class ShareReturner:
    """Give tokens to the oldest waiting jobs beyond their share that aren't late."""

    def __init__(
        self, ledger: Ledger, shares: ShareTracker, waiting: WaitingSteps
    ) -> None:
        """Return the shares of one tracker to jobs with waiting steps."""
        self.ledger = ledger
        self.shares = shares
        self.waiting = waiting

    def run(self) -> None:
        """Spend the tokens that have become available since the last call."""
        for team, jobs in list(self.waiting.returnable.items()):
            if not self.shares.has_token(team):
                continue
            for job in sorted(jobs.values(), key=acceptance_order):
                if job.state.is_final or self.is_late(job):
                    continue
                if not self.shares.take_token(team):
                    break
                job.return_share(self.shares.clock_s)
                self.ledger.touch(job)

    def is_late(self, job: Job) -> bool:
        """Return True if a waiting job can't end on time any more."""
        waiting = self.waiting
        return any(waiting.ranks[ref][2] for ref in waiting.by_job[job.id])
