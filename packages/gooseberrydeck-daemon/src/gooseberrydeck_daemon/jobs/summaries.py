"""Usage summaries of owned shards."""

from gooseberrydeck_coordination.resources import NO_RESOURCES
from gooseberrydeck_daemon.jobs.owner import ShardJobs
from gooseberrydeck_daemon.usage import ShardUsage, pack_resources
from gooseberrydeck_scheduling import WorkerStatus

__all__ = ["summarize"]


def summarize(jobs: ShardJobs, sequence: int) -> ShardUsage:
    """Return the usage of a shard; ``sequence`` must increase within an epoch."""
    state = jobs.scheduler.state
    available_workers = [
        worker for worker in state.cell if worker.status is WorkerStatus.AVAILABLE
    ]
    free = sum((worker.free for worker in available_workers), NO_RESOURCES)
    free_amounts = [worker.free for worker in available_workers]
    largest = max(
        free_amounts, key=lambda amount: amount.cpu_millis, default=NO_RESOURCES
    )
    waiting = sum(len(job.pending) for job in state.jobs.values())
    return ShardUsage(
        jobs.owned.shard,
        jobs.owned.epoch,
        sequence,
        pack_resources(state.cell.capacity),
        pack_resources(free),
        pack_resources(largest),
        waiting,
        {
            team: pack_resources(used)
            for team, used in state.shares.used.items()
            if used != NO_RESOURCES
        },
    )
