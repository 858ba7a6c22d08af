"""Hold the state of a node: members, policy, shard ledger, request ids."""
