"""The xDS control service's decisions: plans, snapshots, sessions, drains, load reports, pacing."""
