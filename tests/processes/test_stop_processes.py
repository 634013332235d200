"""Tests of the planned stop of a member that is a process of its own."""

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
    def test_two_signals_cut_no_request_and_the_exit_is_clean(
        self, tmp_path: Path
    ) -> None:
        answers: list[HttpResponse] = []

        def ask(body: bytes) -> HttpResponse:
            headers = {"Authorization": f"Bearer {SECRET}"}
            return member.call("POST", f"/v1/services/{SERVICE}", body, headers)

        with LocalCell(tmp_path) as cell:
            cell.add_endpoints(SERVICE, 1)
            cell.plan_members("m1")
            member = cell.add_member("m1")
            cell.wait_ready()
            cell.publish(CONFIGURATION)
            wait_until(lambda: ask(b"warm").status == 200, 20.0)
            before = len(cell.requests_run())
            slow = b'{"service_ms": 1500}'
            caller = threading.Thread(target=lambda: answers.append(ask(slow)))
            caller.start()
            wait_until(lambda: len(cell.requests_run()) == before + 1)
            member.process.send_signal(signal.SIGTERM)
            wait_until(lambda: not member.is_ready())
            member.process.send_signal(signal.SIGTERM)
            caller.join()
            assert (answers[0].status, answers[0].body) == (200, slow)
            assert member.process.wait(20) == 0
