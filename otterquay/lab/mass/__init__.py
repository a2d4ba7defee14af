"""Simulates the decision modules of a whole fleet on simulated time, without sockets.

Hundreds of agents send to servers that start cold, with or without a release; the load of all agents together is
checked. A run is reproducible from its seed.
"""
