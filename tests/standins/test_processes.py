"""Tests of child processes that are paused and ended."""

from pathlib import Path

from gooseberrydeck_standins.processes import ChildProcess

SLEEPS = ("-c", "import time; time.sleep(60)")


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
