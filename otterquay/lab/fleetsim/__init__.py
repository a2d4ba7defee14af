"""Simulates the fleet's coordination: up to hundreds of nodes on a simulated clock, drawn faults, and a judge.

The nodes run the same code as an agent's process. The judge reads the messages between them.
"""
