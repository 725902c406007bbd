"""Changes to the nodes that subscribe to a service.

- `publisher`: a control machine's answers to its subscribers (`answers`), which subscribers wait
  (`subscribers`), the pace of snapshots (`pacing`), and which machine a node polls (`placement`)
- `holder`: a node's services as of a position in each region's log (`updates`, `limits`)
"""
