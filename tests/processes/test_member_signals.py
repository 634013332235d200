"""Tests of members that are terminated by a signal."""

from pathlib import Path

from gooseberrydeck_standins.local_cell import LocalCell

MEMBERS = ("m1", "m2", "m3", "m4")


class TestTermination:
    def test_paused_and_resumed_members_exit_cleanly(self, tmp_path: Path) -> None:
        with LocalCell(tmp_path) as cell:
            cell.plan_members(*MEMBERS)
            for name in MEMBERS:
                cell.add_member(name)
            cell.wait_ready()
            for member in cell.members.values():
                member.pause()
                member.resume()
                member.terminate()
            statuses = [member.wait() for member in cell.members.values()]
            assert statuses == [0] * len(MEMBERS)
