"""A digest of the control file, by which control machines check that they serve the same fleet.

Machines with different digests refuse each other's streams. During an upgrade machines of two
releases are connected, so the same file must give the same digest in every release. The digested
text is the `repr` of the file's records as in the first release. `AssignmentRules` has different
field names now; `RULES_FIELDS` maps them to the original ones.
"""

from __future__ import annotations

from hashlib import blake2b

from loadbalancer.control.machine.file import ScaleFile
from loadbalancer.core.assignment.rules import AssignmentRules

# Field names in the digested text, and the corresponding fields of `AssignmentRules`.
RULES_FIELDS = {
    "least_per_zone": "min_per_zone",
    "most_sharers": "max_sharers",
    "node_rate": "node_rate",
    "load_factor": "load_factor",
    "largest_share": "max_share",
    "sharers": "max_sharers_by_service",
    "everywhere": "on_every_node",
}
DIGEST_BYTES = 16


def fleet_digest(file: ScaleFile) -> str:
    """Return the digest of everything that an assignment depends on, in hexadecimal."""
    records = (
        repr(sorted(file.regions.items())),
        repr(file.nodes),
        repr(file.services),
        _rules_text(file.rules),
        repr(file.seed),
    )
    machines = repr([machine.spec for machine in file.machines])
    text = f"({', '.join(records)}){machines}"
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _rules_text(rules: AssignmentRules) -> str:
    fields = (f"{name}={getattr(rules, field)!r}" for name, field in RULES_FIELDS.items())
    return f"AssignmentRules({', '.join(fields)})"
