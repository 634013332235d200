"""Controllers: tasks that keep a part of the member's state up to date."""
