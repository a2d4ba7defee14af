"""Stand-ins for the systems around agents: appliances, fleet list, release desk, yard, clients and faulty links."""
