"""Tests of settings and configurations that are malformed."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeck_adapter import decode_intent
from gooseberrydeck_adapter.configuration import ConfigurationUnreadableError
from gooseberrydeck_adapter.settings import decode_settings
from gooseberrydeck_adapter_standins.local_platform import default_configuration
from gooseberrydeck_fleet.settings import SettingsError
from gooseberrydeck_member.configuration import ConfigurationCache
from odd_values import ODD_ADDRESSES, ODD_NUMBERS, deep, json_bytes, with_raw

SETTINGS: dict[str, object] = {
    "NodeName": "n1",
    "Ip": "10.0.0.1",
    "Zone": "z",
    "Listen": {"Front": "10.0.0.1:80", "Ready": "10.0.0.1:81"},
    "PortRange": [65_520, 65_535],
    "platform": {"Address": "10.0.0.9:1", "TtlMinMs": 1000},
    "Bounds": {"MaxHoldMs": 10000},
    "HeartbeatMs": 1_000,
}

LARGE_NUMBERS = [each for each in ODD_NUMBERS if each != b"1.5"]

large_numbers = pytest.mark.parametrize(
    "number", LARGE_NUMBERS, ids=lambda each: each[:12].decode()
)


class TestOddSettings:
    def test_settings_are_decoded(self) -> None:
        settings = decode_settings(msgspec.json.encode(SETTINGS))
        assert (settings.peer_port, settings.timing.task_lease_s) == (65_520, 10.0)

    # Guards against evacuations that are followed on deployments without the setting.
    def test_evacuations_are_off_without_the_setting(self) -> None:
        assert (
            decode_settings(msgspec.json.encode(SETTINGS)).timing.evacuation_s is None
        )
        on = {**SETTINGS, "Bounds": {"EvacMs": 5_000}}
        settings = decode_settings(msgspec.json.encode(on))
        assert settings.timing.evacuation_s == 5.0

    # Guards against a process that ends by itself when the file changes: a number of
    # 400 digits raised OverflowError.
    @large_numbers
    @pytest.mark.parametrize(
        "field",
        ["MaxHoldMs", "LeaseMs", "GraceS", "status_s", "NoticeMs", "FarX"],
    )
    def test_bound_out_of_range(self, field: str, number: bytes) -> None:
        content = with_raw({**SETTINGS, "Bounds": {field: "RAW"}}, number)
        with pytest.raises(SettingsError):
            decode_settings(content)

    @large_numbers
    def test_number_out_of_range(self, number: bytes) -> None:
        platform = {"Address": "10.0.0.9:1", "TtlMinMs": "RAW"}
        with pytest.raises(SettingsError):
            decode_settings(with_raw({**SETTINGS, "platform": platform}, number))
        with pytest.raises(SettingsError):
            decode_settings(with_raw({**SETTINGS, "HeartbeatMs": "RAW"}, number))

    @pytest.mark.parametrize("port", [0, -1, 65_536, 99_999, 10**400])
    def test_port_out_of_range(self, port: int) -> None:
        content = with_raw({**SETTINGS, "PortRange": ["RAW", 7_015]}, b"%d" % port)
        with pytest.raises(SettingsError):
            decode_settings(content)

    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda each: repr(each[:24]))
    def test_address_that_is_none(self, address: str) -> None:
        for change in (
            {"Listen": {"Front": address, "Ready": "10.0.0.1:81"}},
            {"platform": {"Address": address}},
            {"Advice": address or ":"},
        ):
            with pytest.raises(SettingsError):
                decode_settings(msgspec.json.encode({**SETTINGS, **change}))

    @pytest.mark.parametrize("levels", [2_000, 10_000])
    def test_deep_nesting(self, levels: int) -> None:
        with pytest.raises(SettingsError):
            decode_settings(with_raw({**SETTINGS, "X": "RAW"}, deep(levels)))

    @given(st.binary(max_size=60) | json_bytes(SETTINGS))
    def test_any_content_is_decoded_or_refused(self, content: bytes) -> None:
        try:
            decode_settings(content)
        except SettingsError:
            return


class TestOddConfiguration:
    # Guards against members that end, all of them, by one value below op/.
    @pytest.mark.parametrize("levels", [2_000, 100_000])
    def test_deep_nesting_is_unreadable(self, levels: int) -> None:
        cache = ConfigurationCache(decode_intent)
        assert cache.offer(msgspec.json.encode(default_configuration(7)), 1.0, "test")
        odd = with_raw({**default_configuration(8), "X": "RAW"}, deep(levels))
        assert not cache.offer(odd, 2.0, "test")
        assert not cache.offer(deep(levels), 2.0, "test")
        assert cache.version == 7

    @pytest.mark.parametrize("number", [b"1e400", b"NaN", b"9" * 5_000])
    def test_number_out_of_range_is_unreadable(self, number: bytes) -> None:
        wire = default_configuration(8)
        for field in ("SloMs", "Priority", "Stretch", "Attempts"):
            routes = [{**wire["Routes"][0], field: "RAW"}]
            with pytest.raises(ConfigurationUnreadableError):
                decode_intent(with_raw({**wire, "Routes": routes}, number))

    # Guards against a configuration that is never in force: an operator may write any
    # large number for a team without a limit.
    @pytest.mark.parametrize("number", [str(2**63 - 1).encode(), b"9" * 400])
    def test_limit_out_of_range_is_the_largest(self, number: bytes) -> None:
        maximum = {"Cpu": "RAW", "MemMb": 5}
        tenants = [{"Name": "t", "ApiKeys": ["k"], "Maximum": maximum}]
        wire = {**default_configuration(8), "Tenants": tenants}
        team = decode_intent(with_raw(wire, number)).teams[0]
        assert (team.maximum.cpu_millis, team.maximum.memory_mib) == (2**53, 5)

    @given(json_bytes(default_configuration(8)))
    def test_any_value_is_decoded_or_refused(self, value: bytes) -> None:
        try:
            decode_intent(value)
        except ConfigurationUnreadableError:
            return
