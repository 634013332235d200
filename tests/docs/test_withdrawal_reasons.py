"""Tests that the operators' page explains each reason why a command isn't sent."""

from pathlib import Path
from typing import get_args

import pytest

from gooseberrydeck_fleet.send_permission import Obstacle
from gooseberrydeck_fleet.start_permission import StartObstacle

PAGE = Path(__file__).parents[2] / "docs" / "OPERATIONS.md"

REASONS = [
    obstacle.value
    for kind in get_args(Obstacle)
    for obstacle in kind
    # Forbids a decision only: a run that is sent is known itself.
    if obstacle is not StartObstacle.RUNS_KNOWN
]


@pytest.mark.parametrize("reason", REASONS)
def test_reason_is_explained(reason: str) -> None:
    _, _, section = PAGE.read_text().partition("\n## A task started late\n")
    section, _, _ = section.partition("\n## ")
    assert f"`{reason}`" in section
