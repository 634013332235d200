"""Which parts of the policy on teams' shares are in force."""

import msgspec

__all__ = ["BY_USE", "SharePolicy"]


class SharePolicy(msgspec.Struct, frozen=True):
    """Switches for the parts of the policy; each applies to teams with a weight.

    Without ``orders_arrivals``, jobs take tokens in the order in which the scheduler
    learns of them, which after a takeover is that of the store's keys. Without
    ``returns_shares``, a job that was beyond its team's share when it arrived remains
    so. Without ``ranks_by_use``, jobs beyond their team's share are ordered as if they
    were of one team. Without ``preempts_by_share``, the runs to stop are chosen by
    their work alone.
    """

    orders_arrivals: bool = True
    returns_shares: bool = False
    ranks_by_use: bool = False
    preempts_by_share: bool = False


BY_USE = SharePolicy(ranks_by_use=True, preempts_by_share=True)
"""The policy in which the teams' use orders what exceeds their shares.

Shares aren't returned: tokens for jobs that waited leave fewer for those that arrive,
and fewer of a hot team's jobs end in time.
"""
