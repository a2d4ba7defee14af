"""The decision module: scoring, state, rules, updates, evidence, breaker, votes, bins, routing and requests."""
