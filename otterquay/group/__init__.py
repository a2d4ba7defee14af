"""Raft group: three or five agents that agree on one command order (Ongaro, Ousterhout 2014). No I/O."""
