"""State of a node: members, policy, shard ledger and request ids."""
