"""The agent: sockets and timers become events of the decision module, its actions become traffic."""
