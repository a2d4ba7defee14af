"""otterquay: routes requests while server software is replaced, and votes on each new build."""
