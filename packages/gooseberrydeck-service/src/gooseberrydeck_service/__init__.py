"""Tasks and HTTP listeners that every process of ours is built from."""
