"""The command line: `python -m loadbalancer COMMAND`, one module a sub-command."""
