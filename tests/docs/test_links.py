"""Tests that documentation pages refer only to existing files."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGES = sorted([ROOT / "README.md", *ROOT.glob("docs/**/*.md")])
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
TEST_FILE = re.compile(r"`([a-z]+/test_[a-z_]+\.py)`")


class TestPages:
    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_links_resolve(self, page: Path) -> None:
        targets = LINK.findall(page.read_text())
        missing = [target for target in targets if not (page.parent / target).exists()]
        assert not missing

    def test_proof_table_names_existing_tests(self) -> None:
        table = (ROOT / "docs" / "internals" / "proof.md").read_text()
        names = TEST_FILE.findall(table)
        assert names
        assert not [name for name in names if not (ROOT / "tests" / name).exists()]
