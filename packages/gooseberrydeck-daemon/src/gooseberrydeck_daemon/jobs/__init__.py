"""Job service of a member: durable acceptance, execution by shard owners, queries."""
