"""The replicated log of one region's changes: Raft, learners, and what is accepted."""
