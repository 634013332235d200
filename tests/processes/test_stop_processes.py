"""Tests of the graceful shutdown of a member that runs as a separate process."""

import hashlib
import signal
import threading
from pathlib import Path

from daemon_support import wait_until
from gooseberrydeck_configuration.objects import (
    Configuration,
    Key,
    Limit,
    Service,
    Share,
    Team,
)
from gooseberrydeck_coordination.ids import KeyId, ServiceName, TeamName
from gooseberrydeck_platform.http import HttpResponse
from gooseberrydeck_standins.local_cell import LocalCell

SECRET = "editors-secret"
EDITORS = TeamName("editors")
SERVICE = ServiceName("lookups")
CONFIGURATION = Configuration(
    teams=(Team(EDITORS),),
    keys=(Key(KeyId("k1"), EDITORS, hashlib.sha256(SECRET.encode()).hexdigest()),),
    shares=(Share(EDITORS, 1.0),),
    limits=(Limit(EDITORS, 8),),
    services=(Service(SERVICE, teams=(EDITORS,)),),
)


class TestTermination:
    def test_repeated_sigterm_finishes_requests_and_exits_cleanly(
        self, tmp_path: Path
    ) -> None:
        responses: list[HttpResponse] = []

        def send_request(body: bytes) -> HttpResponse:
            headers = {"Authorization": f"Bearer {SECRET}"}
            return member.call("POST", f"/v1/services/{SERVICE}", body, headers)

        with LocalCell(tmp_path) as cell:
            cell.add_endpoints(SERVICE, 1)
            cell.plan_members("m1")
            member = cell.add_member("m1")
            cell.wait_ready()
            cell.publish(CONFIGURATION)
            wait_until(lambda: send_request(b"warm").status == 200, 20.0)
            before = len(cell.requests_run())
            slow = b'{"service_ms": 1500}'
            caller = threading.Thread(
                target=lambda: responses.append(send_request(slow))
            )
            caller.start()
            wait_until(lambda: len(cell.requests_run()) == before + 1)
            member.process.send_signal(signal.SIGTERM)
            wait_until(lambda: not member.is_ready())
            member.process.send_signal(signal.SIGTERM)
            caller.join()
            assert (responses[0].status, responses[0].body) == (200, slow)
            assert member.process.wait(20) == 0
