"""Tests of the limits and metrics of a member's listeners."""

from types import SimpleNamespace
from typing import cast

import pytest

from gooseberrydeck_fleet.settings import MemberSettings
from gooseberrydeck_member.composition import MAX_PEER_BODY_BYTES, ReadinessApplication
from gooseberrydeck_member.configuration import ConfigurationCache
from gooseberrydeck_member.listener_limits import MIB, ListenerLimits, derive_limits
from gooseberrydeck_member.listener_metrics import ListenerCollector
from gooseberrydeck_member.observability import Metrics
from gooseberrydeck_service.connection_budget import (
    COMPLETE_FRACTION,
    ConnectionBudget,
    ConnectionLimits,
)


def limits_of(memory_mib: int, max_fds: int) -> ListenerLimits:
    settings = SimpleNamespace(memory_mib=memory_mib, max_fds=max_fds)
    return derive_limits(cast(MemberSettings, settings))


class TestDerivedLimits:
    # Guards against listeners that together take all that a host has.
    @pytest.mark.parametrize(("memory_mib", "fds"), [(160, 1_638), (552, 10_250)])
    def test_listeners_leave_room(self, memory_mib: int, fds: int) -> None:
        limits = limits_of(memory_mib, fds)
        parts = (limits.callers, limits.peers, limits.readiness)
        assert sum(each.max_connections for each in parts) <= 0.66 * (fds - 200)
        assert sum(each.max_held_bytes for each in parts) <= memory_mib * MIB / 5

    # Guards against settings with which no request can be served.
    def test_small_limits_are_raised(self) -> None:
        limits = limits_of(1, 1)
        for each in (limits.callers, limits.peers):
            assert each.max_connections >= 32
            assert COMPLETE_FRACTION * each.max_held_bytes > MAX_PEER_BODY_BYTES


class TestListenerMetrics:
    def test_values_are_rendered_by_listener(self) -> None:
        metrics = Metrics()
        budget = ConnectionBudget(ConnectionLimits(4), lambda: 0.0)
        metrics.registry.register(ListenerCollector({"callers": budget}))
        budget.accept_complete(100)
        text = metrics.render().decode()
        assert 'gooseberrydeck_held_bytes{listener="callers"} 100.0' in text
        assert 'connections{listener="callers",state="body"} 0.0' in text
        assert 'closed_total{listener="callers",reason="memory"} 0.0' in text


class TestReadiness:
    # Guards against callers that are sent to a member which doesn't answer them.
    @pytest.mark.parametrize("is_responsive", [True, False])
    def test_probe_follows_the_callers_listener(self, is_responsive: bool) -> None:
        configuration = cast(ConfigurationCache, SimpleNamespace(current=object()))
        application = ReadinessApplication(configuration)
        application.is_responsive = lambda: is_responsive
        lines: list[str] = []
        application({}, lambda line, _fields: lines.append(line))
        assert lines == ["200 OK" if is_responsive else "503 Service Unavailable"]
