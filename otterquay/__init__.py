"""otterquay: a release controller and the router that moves traffic from one build to another."""
