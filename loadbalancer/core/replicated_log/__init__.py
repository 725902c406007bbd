"""The replicated log of one region's changes: Raft, learners, and the committed log itself.

Raft's terms (Ongaro and Ousterhout 2014, "In Search of an Understandable Consensus Algorithm",
below "the paper"; Ongaro 2014, "Consensus: Bridging Theory and Practice", below "the thesis") meet
the subscribers' `Position` in one place: `Position.epoch` is the term in which an entry was
appended, `Position.revision` is its log index.
"""
