"""The soak: days drawn from a seed, played by real processes of the agent in service and judged from the wire.

`script` draws a day, `settings` the customer whose day it is, `process` runs the agents, `feeds` and `appliances`
are their stand-ins, `clients` asks, `day` plays it all, `judge` counts what was wrong and `report` prints it.
"""
