"""Stand-ins for all that an agent meets: appliances, fleet list, release desk, clients, faulty links."""
