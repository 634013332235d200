"""Tests of decoding registrations that another writer has left."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeck_adapter import decode_registration
from gooseberrydeck_coordination.decoding import MAX_REASON_CHARACTERS, DecodingError
from gooseberrydeck_fleet.registrations import Registration
from odd_values import ODD_ADDRESSES, ODD_NUMBERS, deep, json_bytes, with_raw

KEY = "servers/odd"

ENTRY: dict[str, object] = {
    "Service": "desk",
    "Address": "127.0.0.1:80",
    "State": "draining",
    "RemainingMs": 1_500,
    "Capacity": {"Cpu": 4_000, "MemMb": 10, "Gpu": 1},
    "Labels": ["a", "r1-3"],
    "Zone": "z",
    "born": 1_700_000_000_000,
}


def refuse(value: bytes) -> str:
    """Return the reason for which an entry is malformed."""
    with pytest.raises(DecodingError) as raised:
        decode_registration(KEY, value)
    assert len(str(raised.value)) <= MAX_REASON_CHARACTERS
    return str(raised.value)


class TestOddRegistrations:
    # Guards against holders that crash one after the other: deep nesting raised
    # RecursionError, which is neither a MsgspecError nor a ValueError.
    @pytest.mark.parametrize("levels", [2_000, 10_000, 100_000])
    @pytest.mark.parametrize("field", ["Extra", "Capacity", "Labels", "Address"])
    def test_deeply_nested_field(self, field: str, levels: int) -> None:
        refuse(with_raw({**ENTRY, field: "RAW"}, deep(levels)))

    @pytest.mark.parametrize("levels", [2_000, 100_000])
    def test_deeply_nested_entry(self, levels: int) -> None:
        refuse(deep(levels))
        refuse(b'{"a":' * levels + b"1" + b"}" * levels)
        refuse(b"[" * levels)

    # Guards against holders that crash on a number which fits no float, and against
    # records of workers that a successor can't read.
    @pytest.mark.parametrize("number", ODD_NUMBERS, ids=lambda each: each[:12].decode())
    @pytest.mark.parametrize("field", ["RemainingMs", "born"])
    def test_number_out_of_range(self, field: str, number: bytes) -> None:
        refuse(with_raw({**ENTRY, field: "RAW"}, number))

    @pytest.mark.parametrize(
        "number", [*ODD_NUMBERS, b"-1"], ids=lambda each: each[:12].decode()
    )
    @pytest.mark.parametrize("amount", ["Cpu", "MemMb", "Gpu"])
    def test_amount_out_of_range(self, amount: str, number: bytes) -> None:
        capacity = {"Cpu": 1, "MemMb": 1, amount: "RAW"}
        refuse(with_raw({**ENTRY, "Capacity": capacity}, number))

    # Guards against polls that crash, since the system's calls raise OverflowError for
    # a port out of range and UnicodeError for some hosts.
    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda each: repr(each[:24]))
    def test_address_that_is_none(self, address: str) -> None:
        refuse(msgspec.json.encode({**ENTRY, "Address": address}))

    @pytest.mark.parametrize(
        "value",
        [b"", b"\xff{", b"null", b"5", b'{"Service":"\xff"}', b"{}", b'"\\ud800"'],
    )
    def test_bytes_that_are_no_entry(self, value: bytes) -> None:
        refuse(value)

    # Guards against a worker that is used twice: its server takes the id in the header
    # of a call without the blanks around it, and an empty one may count as none.
    @pytest.mark.parametrize(
        "name", ["", " w1", "w1 ", "w1\t", "w\n1", "w 1", "\u00e4"]
    )
    def test_id_that_is_none(self, name: str) -> None:
        value = msgspec.json.encode(ENTRY)
        assert decode_registration("servers/w-1.a_B", value).worker == "w-1.a_B"
        with pytest.raises(DecodingError):
            decode_registration(f"servers/{name}", value)

    def test_long_state_is_not_quoted_in_full(self) -> None:
        refuse(msgspec.json.encode({**ENTRY, "State": "x" * 100_000}))

    # Guards against losing a worker for a hint that is odd.
    @pytest.mark.parametrize(
        ("value", "cold_s"),
        [
            (b"2500", 2.5),
            (b"0.5", 0.0005),
            (b"-1", 0.0),
            (b"null", 0.0),
            (b'"1"', 0.0),
            (b"[1]", 0.0),
            (b"1e400", 0.0),
            (b"9" * 400, 0.0),
        ],
    )
    def test_time_until_a_worker_is_warm(self, value: bytes, cold_s: float) -> None:
        found = decode_registration(
            KEY, with_raw({**ENTRY, "ColdLeftMs": "RAW"}, value)
        )
        assert found.cold_s == cold_s

    def test_number_of_another_field_does_not_matter(self) -> None:
        found = decode_registration(KEY, with_raw({**ENTRY, "Slots": "RAW"}, b"1e300"))
        assert found.worker == "odd"

    @given(st.binary(max_size=200) | json_bytes(ENTRY))
    def test_any_entry_is_decoded_or_refused(self, value: bytes) -> None:
        try:
            found = decode_registration(KEY, value)
        except DecodingError:
            return
        assert isinstance(found, Registration)
        assert 0 < found.address.port < 65_536
        # The holder stores it for its successor, who has to read it.
        stored = msgspec.json.encode(found)
        assert msgspec.json.decode(stored, type=Registration) == found
