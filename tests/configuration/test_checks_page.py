from pathlib import Path

from gooseberrydeck_configuration.checks import Level, registry

PAGE = Path(__file__).parents[2] / "docs" / "ref" / "checks.md"


def expected_rows() -> list[str]:
    """Return the expected table row of each kind of problem, ordered by id."""
    return [
        f"| `{kind.id}` | {kind.level.value} | {kind.summary} | {kind.hint} |"
        for _, kind in sorted(registry.kinds.items())
    ]


class TestChecksPage:
    def test_page_lists_every_kind_of_problem(self) -> None:
        rows = [line for line in PAGE.read_text().splitlines() if line[:3] == "| `"]
        assert rows == expected_rows()

    def test_letter_of_the_id_matches_the_level(self) -> None:
        for id, kind in registry.kinds.items():
            assert (kind.level is Level.ERROR) == (".E" in id)
