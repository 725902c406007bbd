"""Consul's catalogue and health API as a source of servers; see docs/design/consul.md."""
