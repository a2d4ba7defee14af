"""otterquay: a release controller, and a router that shifts traffic from one build to another."""
