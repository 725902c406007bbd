"""A Consul agent on loopback, from the public API documentation; it counts rows.

    python -m fakes.consul --listen 127.0.0.1:0

Health, catalogue, agent registration with TTL checks, maintenance, blocking queries with
indexes, filters, datacentres, staleness and leader loss. A row is one element of an answer's
list.

Calls for tests and benchmarks:

    PUT  /standin/services   [{"ID", "Service", "Address", "Port", "Status", ...}]: replace all
    POST /standin/status     {"id": status}: set checks
    POST /standin/faults     the faults from now on, by their names in `faults`
    GET  /standin/lines      rows sent by second ("seconds") and by reader ("readers", its
                             User-Agent), blocking queries ("waiting"), queries ("asked"), bytes
"""
