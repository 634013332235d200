"""Layout of the keys in the store."""

from gooseberrydeck_coordination.ids import (
    CellName,
    ConfigurationNumber,
    JobId,
    MemberId,
    ServiceName,
    ShardId,
    TeamName,
)

__all__ = ["StoreKeys"]


class StoreKeys:
    """The store keys of one cell, which docs/internals/architecture.md lists."""

    def __init__(self, cell: CellName) -> None:
        """Initialize the keys, which all start with the cell's prefix."""
        self.root = f"/gooseberrydeck/{cell}/"
        self.members_prefix = f"{self.root}members/"
        self.roster = f"{self.root}roster"
        self.shards_prefix = f"{self.root}shards/"
        self.assignments = f"{self.root}assignments"
        self.slices_prefix = f"{self.root}slices/"
        self.configuration_head = f"{self.root}configuration/head"
        self.configuration_history_prefix = f"{self.root}configuration/history/"
        self.jobs_prefix = f"{self.root}jobs/"
        self.job_index_prefix = f"{self.root}job-index/"
        self.reports_prefix = f"{self.root}reports/"

    def member(self, member: MemberId) -> str:
        """Return the key of a member's record."""
        return f"{self.members_prefix}{member}"

    def shard(self, shard: ShardId) -> str:
        """Return the key of a shard's record."""
        return f"{self.shards_prefix}{shard:04d}"

    def team_slices(self, team: TeamName) -> str:
        """Return the key of a team's slices."""
        return f"{self.slices_prefix}{team}"

    def configuration_history(self, number: ConfigurationNumber) -> str:
        """Return the key of a published configuration."""
        return f"{self.configuration_history_prefix}{number:08d}"

    def shard_jobs_prefix(self, shard: ShardId) -> str:
        """Return the prefix of the job records of a shard."""
        return f"{self.jobs_prefix}{shard:04d}/"

    def job(self, shard: ShardId, job: JobId) -> str:
        """Return the key of a job's record."""
        return f"{self.shard_jobs_prefix(shard)}{job}"

    def job_index(self, job: JobId) -> str:
        """Return the key that stores the shard of a job."""
        return f"{self.job_index_prefix}{job}"

    def request(self, service: ServiceName, key_hash: str) -> str:
        """Return the key of the record that claims an Idempotency-Key."""
        return f"{self.root}requests/{service}/{key_hash}"

    def report(self, member: MemberId, name: str) -> str:
        """Return the key of a member's report snapshot."""
        return f"{self.reports_prefix}{member}/{name}"

    def commit_marker(self, member: MemberId) -> str:
        """Return the marker key of a member's group commits."""
        return f"{self.root}commits/{member}"

    def request_marker(self, member: MemberId) -> str:
        """Return the marker key of a member's group commits of request claims."""
        return f"{self.root}request-commits/{member}"
