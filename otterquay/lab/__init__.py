"""The laboratory: days from a script, played against real agents, judged from the traffic."""
