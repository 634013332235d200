"""Conversion between the JSON bodies of etcd's gateway and the engine's values."""

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

__all__ = [
    "decode_condition",
    "decode_operation",
    "decode_put",
    "encode_event",
    "encode_key_value",
]


def encode_key_value(stored: KeyValue) -> KeyValueBody:
    """Return a stored key as a gateway body."""
    return KeyValueBody(
        stored.key,
        stored.value,
        encode_int(stored.create_revision),
        encode_int(stored.mod_revision),
        encode_int(stored.version),
        encode_int(stored.lease),
    )


def encode_int(number: int) -> int | str:
    """Return an integer as the gateway encodes it: a string, with zero omitted."""
    return str(number) if number else 0


def encode_event(event: Event) -> EventBody:
    """Return an event as a gateway body."""
    return EventBody(encode_key_value(event.kv), "DELETE" if event.is_delete else "PUT")


def decode_condition(compare: CompareBody) -> Condition:
    """Return the engine condition of a compare body.

    Raises ``InvalidRequestError`` for comparisons other than equality.
    """
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


def decode_operation(operation: OperationBody) -> PutKey | DeleteRange:
    """Return the engine operation of an operation body.

    Raises ``InvalidRequestError`` unless it is a put or a range deletion.
    """
    if operation.request_put is not None:
        return decode_put(operation.request_put)
    if operation.request_delete_range is not None:
        delete = operation.request_delete_range
        return DeleteRange(delete.key, delete.range_end)
    raise InvalidRequestError("this stand-in takes puts and deletions only")


def decode_put(body: PutBody) -> PutKey:
    """Return the engine operation of a put body."""
    return PutKey(body.key, body.value, int(body.lease))
