"""The gateway's JSON as the engine's values, and back."""

from gooseberrydeck_platform.etcd_messages import (
    CompareBody,
    EventBody,
    KeyValueBody,
    OperationBody,
    PutBody,
)
from gooseberrydeck_standins.store_values import (
    Condition,
    ConditionTarget,
    DeleteRange,
    Event,
    InvalidRequestError,
    KeyValue,
    PutKey,
)

__all__ = ["condition_of", "event_answer", "key_answer", "operation_of", "put_of"]


def key_answer(stored: KeyValue) -> KeyValueBody:
    """Return a key as the gateway tells it."""
    return KeyValueBody(
        stored.key,
        stored.value,
        text(stored.create_revision),
        text(stored.mod_revision),
        text(stored.version),
        text(stored.lease),
    )


def text(number: int) -> int | str:
    """Return a number as the gateway writes it; zero is left out."""
    return str(number) if number else 0


def event_answer(event: Event) -> EventBody:
    """Return a change as the gateway tells it."""
    return EventBody(key_answer(event.kv), "DELETE" if event.is_delete else "PUT")


def condition_of(compare: CompareBody) -> Condition:
    """Return a compare as the engine's condition."""
    if compare.result != "EQUAL":
        raise InvalidRequestError("this stand-in compares for equality only")
    target = ConditionTarget(compare.target)
    if target is ConditionTarget.VALUE:
        return Condition(compare.key, target, compare.value or b"")
    expected = {
        ConditionTarget.VERSION: compare.version,
        ConditionTarget.CREATE: compare.create_revision,
        ConditionTarget.MOD: compare.mod_revision,
        ConditionTarget.LEASE: compare.lease,
    }[target]
    return Condition(compare.key, target, int(expected or 0))


def operation_of(operation: OperationBody) -> PutKey | DeleteRange:
    """Return an operation as the engine's."""
    if operation.request_put is not None:
        return put_of(operation.request_put)
    if operation.request_delete_range is not None:
        delete = operation.request_delete_range
        return DeleteRange(delete.key, delete.range_end)
    raise InvalidRequestError("this stand-in takes puts and deletions only")


def put_of(body: PutBody) -> PutKey:
    """Return a put as the engine's."""
    return PutKey(body.key, body.value, int(body.lease))
