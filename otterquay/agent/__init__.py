"""The agent: turns socket and timer events into events of the decision module, and carries out its actions."""
