"""How the nodes of one tier share what matters: who lives, what is replicated, who uses what."""
