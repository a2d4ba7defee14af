"""The decision module of a whole fleet on simulated time, without sockets: hundreds of agents, servers that come
back cold, releases, and the sum of what all agents send them. One seed gives one run."""
