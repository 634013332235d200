"""Contract tests of the host list over HTTP, including its lag."""

import msgspec
import pytest

from gooseberrydeck_coordination.clock import ManualClock
from gooseberrydeck_coordination.resources import Resources
from gooseberrydeck_platform.exceptions import HostListUnavailableError
from gooseberrydeck_platform.host_list_http import HttpHostList
from gooseberrydeck_platform.hosts import HostState
from gooseberrydeck_platform.http import HttpAddress, HttpConnection
from gooseberrydeck_standins.faults import FaultKind
from gooseberrydeck_standins.host_list_server import HostListServer
from gooseberrydeck_standins.worker_server import worker_hosts

TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.2
LAG_S = 2.0
HOSTS = worker_hosts(2, Resources(32_000, 65_536, 2))


class TestHttpHostList:
    def test_hosts_are_added_and_removed_after_lag(self) -> None:
        clock = ManualClock()
        with HostListServer(HOSTS[:1], LAG_S, clock) as server:
            hosts = HttpHostList([server.address])
            assert hosts.read(TIMEOUT_S) == (HOSTS[0],)
            control = HttpConnection(server.address)
            control.request("POST", "/hosts", msgspec.json.encode(HOSTS[1:]))
            control.request("POST", f"/hosts/{HOSTS[0].name}/leave")
            assert hosts.read(TIMEOUT_S) == (HOSTS[0],)
            clock.advance(LAG_S)
            states = [each.state for each in hosts.read(TIMEOUT_S)]
            assert states == [HostState.LEAVING, HostState.LIVE]
            control.request("DELETE", f"/hosts/{HOSTS[0].name}")
            clock.advance(LAG_S)
            assert hosts.read(TIMEOUT_S) == (HOSTS[1],)
            control.close()

    @pytest.mark.parametrize(
        "kind",
        [
            FaultKind.DOWN,
            FaultKind.REFUSE,
            FaultKind.FAIL_EVERYTHING,
            FaultKind.ANSWER_LOST,
        ],
    )
    def test_fault_makes_host_list_unavailable(self, kind: FaultKind) -> None:
        with HostListServer(HOSTS) as server:
            server.faults.set(kind)
            with pytest.raises(HostListUnavailableError):
                HttpHostList([server.address]).read(TIMEOUT_S)

    def test_slow_host_list_times_out(self) -> None:
        with HostListServer(HOSTS) as server:
            server.faults.set(slow_s=TIMEOUT_S)
            with pytest.raises(HostListUnavailableError):
                HttpHostList([server.address]).read(SHORT_TIMEOUT_S)
            server.faults.clear()

    def test_unreachable_host_list_is_unavailable(self) -> None:
        with pytest.raises(HostListUnavailableError):
            HttpHostList([HttpAddress("127.0.0.1", 1)]).read(SHORT_TIMEOUT_S)
