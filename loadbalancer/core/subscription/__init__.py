"""Distribution of committed changes to the nodes that subscribe to services.

- `publisher`: a control machine's answers to its subscribers (`answers`), the subscribers that wait
  for changes (`subscribers`), rate limiting of snapshots (`pacing`), and the placement of nodes at
  control machines (`placement`)
- `holder`: the services that a node holds (`service_table`, `limits`), how updates are applied to
  them (`updates`), and queries for services that it does not hold (`unknown_services`)
"""
