"""The replicated log of one region's changes: Raft, learners, and the committed log itself.

Modules of this package cite two sources: "the paper" (Ongaro and Ousterhout 2014, "In Search of an
Understandable Consensus Algorithm") and "the thesis" (Ongaro 2014, "Consensus: Bridging Theory and
Practice").

Raft's vocabulary maps to `Position`, which subscribers use, as follows: `Position.epoch` is the
term in which an entry was appended, `Position.revision` is its log index.
"""
