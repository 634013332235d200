"""What operators see of teams' shares."""

import msgspec

from gooseberrydeck_coordination.ids import TeamName
from gooseberrydeck_fleet.shares import ShareTracker
from gooseberrydeck_fleet.team_use import TeamUse
from gooseberrydeck_fleet.waiting import WaitingSteps

__all__ = ["TeamView", "describe_teams"]


class TeamView(msgspec.Struct, frozen=True):
    """A team's share, its use, and its jobs that wait for a start.

    ``share`` is in jobs per second, zero without one. ``use`` is the part of the fleet
    that the team has used lately; ``weighted_use`` is 1 if that is what its weight
    says.
    """

    team: TeamName
    share: float
    use: float
    weighted_use: float
    waiting_within: int
    waiting_beyond: int


def describe_teams(
    shares: ShareTracker, use: TeamUse, waiting: WaitingSteps
) -> list[TeamView]:
    """Return the configured teams, and others with jobs that wait, by name."""
    waiting_jobs = {
        team: {ref.job: waiting.steps[ref].job for ref in refs}
        for team, refs in waiting.by_team.items()
        if refs
    }
    views = []
    for team in sorted(shares.rates.keys() | waiting_jobs.keys()):
        jobs = waiting_jobs.get(team, {}).values()
        within = sum(job.is_within_share for job in jobs)
        views.append(
            TeamView(
                team,
                shares.rates.get(team, 0.0),
                use.part(team),
                use.weighted(team),
                within,
                len(jobs) - within,
            )
        )
    return views
