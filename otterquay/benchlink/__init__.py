"""The bench's wire on one side, the decision module on the other; translates, never decides."""
