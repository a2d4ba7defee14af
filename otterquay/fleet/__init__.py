"""The fleet work of one agent: group, duties, site and run times in `node.py` (no I/O), run by `shell.py`."""
