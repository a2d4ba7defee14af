"""Duties: named work of the fleet with at most one owner each, and the replicated state about it. No I/O."""
