"""Posts: many small duties, spread evenly over the agents that can reach the group.

The holder of a post watches the yard's list of one site for one kind of server and reports it to the group. There
is one post per site and kind, hundreds in a large fleet. The leader assigns posts, so agents don't compete for
them, and reports about the owner of a site's capacity come from agents other than that owner.
"""
