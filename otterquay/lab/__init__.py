"""The lab: plays scripted days against real agents and audits the recorded traffic."""
