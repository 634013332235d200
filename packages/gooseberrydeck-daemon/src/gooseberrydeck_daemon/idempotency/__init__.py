"""Idempotency keys: a request with a used key does not run again."""

from gooseberrydeck_daemon.idempotency.guard import IdempotencyGuard
from gooseberrydeck_daemon.idempotency.records import (
    KeyedRequest,
    RequestRecord,
    StoredAnswer,
)
from gooseberrydeck_daemon.idempotency.task import RecordsTask

__all__ = [
    "IdempotencyGuard",
    "KeyedRequest",
    "RecordsTask",
    "RequestRecord",
    "StoredAnswer",
]
