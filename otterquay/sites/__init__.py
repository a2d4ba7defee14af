"""Sites: agents that lost the group elect a coordinator, which acts within an allowance granted beforehand.

No I/O. A site is a zone; its upstream is the majority of the group.
"""
