"""Changes to the nodes that subscribe to a service: publishers, pacing, holders."""
