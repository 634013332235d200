"""Jobs: accepted durably, run by the owner of their shard, and answered."""
