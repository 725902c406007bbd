"""The decisions of one node about its requests; each module has one rule.

Start with `balancer` (the events of a host) and `state` (what the modules share).

| module | rule |
| --- | --- |
| `admission` | how long a request may be queued, which requests are deferred, tenants' quotas |
| `scheduling` | which queued request goes next: weighted round robin over the classes |
| `dispatch` | queued requests leave while slots are free |
| `class_weights` | how many slots each class is given: prediction, utility, max-min solve |
| `concurrency_limit` | how many requests all nodes together have in flight at one endpoint |
| `endpoint_caps` | how many of an endpoint's slots are this node's |
| `endpoint_selection` | which endpoint a request is sent to |
| `rotation` | which endpoints may take one more request |
| `outlier_detection` | which endpoints are left out, for how long, and how they return |
| `slow_start` | how much an endpoint gets whose process has just started |
| `latency` | latency averages and congestion samples, from attempts' durations |
| `retries` | whether a further attempt may be sent, attempt timeouts, when a request is given up |
| `final_answer` | whether an unserved request is rejected or failed |
| `route_policies`, `hedging`, `retry_budget`, `response_times` | what a route's policy adds |
| `list_updates`, `request_classes` | what a new list or new settings change |
| `model`, `records`, `ports` | types exchanged with a host; records of state; plug-in interfaces |
"""
