"""The real node round the decisions of loadbalancer.core; see docs/design.md."""
