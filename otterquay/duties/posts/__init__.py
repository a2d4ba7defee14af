"""Many small duties, spread evenly over the agents that can hear the group.

A post is a duty to look: at the yard's list of one site, for one kind of server, and to tell the group what is
there. There are as many as sites and kinds, hundreds in a large fleet. The leader assigns them, so nobody competes
for one, and what is told about the owners of a site's capacity comes from others than themselves.
"""
