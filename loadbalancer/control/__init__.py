"""Processes of the control plane: control machines, the xDS service and the Consul relay."""
