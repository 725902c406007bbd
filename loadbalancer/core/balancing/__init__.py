"""The load-balancing decisions of one node; each module implements one of them.

Start with `balancer` (the event interface) and `state` (the state that the modules share).

| module | decision |
| --- | --- |
| `admission` | how long a request may be queued, deferred requests, tenants' quotas |
| `scheduling` | which queued request is next: weighted round robin over the classes |
| `dispatch` | when queued requests are sent: while slots are free |
| `class_weights` | slots of each class: response time prediction, utility, max-min solve |
| `concurrency_limit` | requests that all nodes together have in flight at one endpoint |
| `endpoint_caps` | which part of an endpoint's slots belongs to this node |
| `endpoint_selection` | which endpoint a request is sent to |
| `rotation` | which endpoints may be sent one more request |
| `outlier_detection` | back-off, ejection and probing of failing endpoints |
| `slow_start` | the reduced load of an endpoint whose process has just started |
| `latency` | latency averages and congestion samples from attempt durations |
| `retries` | whether a request may be sent again, attempt timeouts, when to give up |
| `final_answer` | whether an unserved request is rejected or failed |
| `route_policies`, `hedging`, `retry_budget`, `response_times` | policies of routes |
| `list_updates`, `request_classes` | how a new endpoint list or new settings are applied |
| `model`, `records`, `ports` | types exchanged with a host; state records; plug-in interfaces |
"""
