"""Runs agent processes with injected faults, and judges them by the traffic through the relays and to the yard."""
