"""Test that the example in the package's README runs unchanged."""

import re
from pathlib import Path

import pytest

README = Path(__file__).parents[2] / "packages/gooseberrydeck-coordination/README.md"
MAX_LINES = 20


class TestReadmeExample:
    def test_prints_the_shards_of_the_first_member(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
        assert len(example.splitlines()) <= MAX_LINES
        exec(compile(example, str(README), "exec"), {})
        printed = capsys.readouterr().out.splitlines()
        assert printed == [f"{shard} at epoch 1" for shard in range(4)]
