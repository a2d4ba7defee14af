"""The agent: sockets and timers become events of the decision module, its actions become traffic."""

from otterquay.agent.runtime import Runtime

__all__ = ["Runtime"]
