"""Tests of child processes that are paused and ended."""

from pathlib import Path

from gooseberrydeck_standins.processes import ChildProcess, free_ports

SLEEPS = ("-c", "import time; time.sleep(60)")
RESERVES = """
import sys
from gooseberrydeck_standins.processes import reserve_port
print([reserve_port(int(port)) for port in sys.argv[1:]])
"""


class TestFreePorts:
    def test_other_processes_cannot_choose_the_same_ports(self, tmp_path: Path) -> None:
        # Ports are bound by a child process later, so being free is not enough.
        ports = [str(port) for port in free_ports(2)]
        log = tmp_path / "log"
        with ChildProcess(("-c", RESERVES, *ports), log) as process:
            process.wait()
        assert log.read_text() == "[False, False]\n"


class TestChildProcess:
    def test_pausing_twice_returns(self, tmp_path: Path) -> None:
        # If the first pause consumed the stopped state, the second would wait forever.
        with ChildProcess(SLEEPS, tmp_path / "log") as process:
            process.pause()
            process.pause()
            assert process.is_alive()
            process.resume()

    def test_pausing_an_ended_process_returns(self, tmp_path: Path) -> None:
        with ChildProcess(("-c", ""), tmp_path / "log") as process:
            process.wait()
            process.pause()
            assert not process.is_alive()
