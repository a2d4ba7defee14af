"""Adapter between the bench's wire protocol and the decision module; translates messages and decides nothing."""
