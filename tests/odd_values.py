"""Odd JSON values: those that another writer may leave in place of a valid one."""

import json

import msgspec
from hypothesis import strategies as st

__all__ = [
    "ODD_ADDRESSES",
    "ODD_NUMBERS",
    "ODD_RECORDS",
    "deep",
    "json_bytes",
    "with_raw",
]

PLACE = "RAW"

ODD_NUMBERS = (
    b"1e400",
    b"-1e400",
    b"NaN",
    b"Infinity",
    b"-Infinity",
    b"1.5",
    b"1e30",
    str(2**63).encode(),
    str(2**64).encode(),
    str(-(2**64)).encode(),
    str(10**400).encode(),
    str(10**4000).encode(),
    b"9" * 5_000,
)

ODD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:port",
    "127.0.0.1:",
    "127.0.0.1:8_0",
    "127.0.0.1: 80",
    "127.0.0.1:+80",
    "127.0.0.1:80.0",
    "127.0.0.1:\u0663",
    f"127.0.0.1:{10**400}",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1",
    ":80",
    "",
    "a b:80",
    "a\x00b:80",
    "a\r\nb:80",
    "\u00e4:80",
    "http://a:80",
    "127.0.0.1:1:80",
    "a" * 300 + ":80",
)


def deep(levels: int) -> bytes:
    """Return an array that is nested in itself."""
    return b"[" * levels + b"]" * levels


def with_raw(document: object, raw: bytes) -> bytes:
    """Encode a document with ``raw`` in the place of each string ``RAW``."""
    return msgspec.json.encode(document).replace(f'"{PLACE}"'.encode(), raw)


ODD_RECORDS = {
    "deep": with_raw({"X": PLACE}, deep(3_000)),
    "number": b"9" * 5_000,
    "bytes": b"\xff",
    "empty": b"",
    "other type": b"[]",
}
"""Values that are no record of any kind, by what is odd."""

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=2**53)
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(ODD_ADDRESSES),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def json_bytes(fields: dict[str, object]) -> st.SearchStrategy[bytes]:
    """Return documents of which any fields are replaced by any values, or are absent.

    Numbers that JSON does not allow are written as Python writes them.
    """
    strategies = {
        name: st.one_of(st.just(value), JSON_VALUES) for name, value in fields.items()
    }
    return st.fixed_dictionaries({}, optional=strategies).map(
        lambda document: json.dumps(document).encode()
    )
