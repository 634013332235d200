"""Tests of how many connections a client leaves open at a worker."""

from gooseberrydeck_adapter.workers import HttpWorker
from gooseberrydeck_fleet.ids import WorkerId
from gooseberrydeck_platform.http import HttpAddress, HttpConnection
from gooseberrydeck_platform.http_pool import HttpPool

ADDRESS = HttpAddress("worker.example", 1)

WORKER_CONNECTIONS = 64
"""Connections that a worker accepts, by the sites' configurations."""

LOSSES = 20
"""Holders that lose power during a worker's life; their connections stay open there."""

BURST = 16
"""Concurrent commands to one worker."""


def idle_after_burst(pool: HttpPool) -> int:
    """Return how many connections a pool keeps after concurrent calls."""
    connections = [pool.acquire(0) for _ in range(BURST)]
    for connection in connections:
        pool.release(0, connection)
    return len(pool.idle[0])


class TestConnectionsLeftOpen:
    # Guards against workers that accept no more connections after holders have lost
    # power several times: each left up to 32 idle ones there.
    def test_worker_outlasts_repeated_losses_of_holders(self) -> None:
        worker = HttpWorker(WorkerId("w1"), ADDRESS)
        left = idle_after_burst(worker.pool) + idle_after_burst(worker.hold_pool)
        assert LOSSES * left < WORKER_CONNECTIONS

    def test_connections_are_reused_between_calls(self) -> None:
        worker = HttpWorker(WorkerId("w1"), ADDRESS)
        for pool in (worker.pool, worker.hold_pool):
            connection: HttpConnection = pool.acquire(0)
            pool.release(0, connection)
            assert pool.acquire(0) is connection
