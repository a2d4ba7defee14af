"""The troubles of a cluster day. Each kind is a function of the world, the trouble and the agent that it names.

A function returns a function that undoes the trouble, or is a coroutine that runs until the trouble has ended.
"""
