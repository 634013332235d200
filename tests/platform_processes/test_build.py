"""Tests of the deploy file's build command, and of a start without its libraries."""

import json
import os
import stat
import subprocess
import sys
import sysconfig
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SOABI = sysconfig.get_config_var("SOABI")
# Runs the interpreter of the tests, but for pip: that only makes the folder.
STUB = f"""#!/bin/sh
if [ "$1" = -m ]; then
    echo pip >> calls
    [ ! -e pip-fails ] || {{ mkdir -p target/deps/half; exit 1; }}
    mkdir -p target/deps/msgspec
    exit 0
fi
exec "{sys.executable}" "$@"
"""


class Checkout:
    """A checkout with the build command of the deploy file."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        deploy_file = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        self.command = tomllib.loads(deploy_file)["build"]
        programs = folder / "programs"
        programs.mkdir()
        stub = programs / "python3"
        stub.write_text(STUB, encoding="utf-8")
        stub.chmod(stub.stat().st_mode | stat.S_IXUSR)
        self.environment = {**os.environ, "PATH": f"{programs}:{os.environ['PATH']}"}
        (folder / "requirements.txt").write_text("msgspec\n", encoding="utf-8")
        self.age("requirements.txt", 100)

    def age(self, name: str, seconds: int) -> None:
        """Make a file older: files made in a row may be equally old."""
        path = self.folder / name
        changed_s = path.stat().st_mtime - seconds
        os.utime(path, (changed_s, changed_s))

    def build(self) -> int:
        """Run the build and return how often pip has been run so far."""
        subprocess.run(
            ["sh", "-c", self.command],
            cwd=self.folder,
            env=self.environment,
            check=False,
        )
        calls = self.folder / "calls"
        return len(calls.read_text().splitlines()) if calls.exists() else 0


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    return Checkout(tmp_path)


class TestBuildCommand:
    def test_libraries_are_installed_once(self, checkout: Checkout) -> None:
        assert checkout.build() == 1
        assert checkout.build() == 1
        assert (checkout.folder / "target/deps/msgspec").is_dir()

    def test_changed_requirements_are_installed(self, checkout: Checkout) -> None:
        checkout.build()
        checkout.age(f"target/deps/.{SOABI}", 200)
        assert checkout.build() == 2

    # Guards against members that can't start in a checkout whose build folder was
    # carried over from another processor or Python.
    @pytest.mark.parametrize("marker", [".cpython-310-riscv64-linux-gnu", None])
    def test_libraries_of_another_machine_are_replaced(
        self, checkout: Checkout, marker: str | None
    ) -> None:
        carried_over = checkout.folder / "target/deps/carried-over"
        carried_over.mkdir(parents=True)
        if marker is not None:
            (carried_over.parent / marker).touch()
        assert checkout.build() == 1
        assert not carried_over.exists()

    def test_build_that_failed_is_made_again(self, checkout: Checkout) -> None:
        failing = checkout.folder / "pip-fails"
        failing.touch()
        assert checkout.build() == 1
        failing.unlink()
        assert checkout.build() == 2
        assert not (checkout.folder / "target/deps/half").exists()


def start(*options: str, path: str = "") -> subprocess.CompletedProcess[str]:
    """Start a member without the libraries of the tests' environment."""
    return subprocess.run(
        [sys.executable, "-S", *options, str(ROOT / "deploy" / "member.py")],
        env={"PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=False,
    )


class TestStartWithoutLibraries:
    def check(self, ended: subprocess.CompletedProcess[str], reason: str) -> None:
        assert ended.returncode == 1
        assert ended.stderr == ""
        (line,) = ended.stdout.splitlines()
        fields = json.loads(line)
        assert fields["event"] == "libraries not usable"
        assert fields["level"] == "error"
        assert reason in fields["reason"]
        assert fields["python"] == SOABI

    # Guards against a traceback at each start, from which nobody sees that the build
    # is missing.
    def test_missing_libraries(self) -> None:
        self.check(start(), "msgspec")

    def test_libraries_of_another_processor(self, tmp_path: Path) -> None:
        package = tmp_path / "msgspec"
        package.mkdir()
        (package / "__init__.py").write_text("from ._core import Struct\n")
        self.check(start(path=str(tmp_path)), "msgspec._core")

    def test_fault_of_our_own_keeps_its_traceback(self, tmp_path: Path) -> None:
        package = tmp_path / "msgspec"
        package.mkdir()
        (package / "__init__.py").write_text(
            "from gooseberrydeck_coordination import absent_name\n"
        )
        ended = start(path=str(tmp_path))
        assert ended.returncode == 1
        assert "Traceback" in ended.stderr
