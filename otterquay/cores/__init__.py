"""Shared parts of the fleet's sans-I/O cores: the effects they request, incarnations and message bounds."""
