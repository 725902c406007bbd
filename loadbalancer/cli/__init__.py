"""The command line, `python -m loadbalancer COMMAND`, with one module per sub-command."""
