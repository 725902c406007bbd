"""Scripted xDS proxies of either protocol variant, with faults on command.

    python -m fakes.xds_proxy ADDRESS --count 21 --variant incremental --agent envoy

Written from the xDS protocol's text alone. Each proxy retains what it accepted, and checks after
every message that it is consistent: no route names a cluster, and no cluster endpoints, that the
proxy does not have. `script` lists the commands, `faults` the faults.
"""
