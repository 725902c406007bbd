"""A digest of a control file, by which control machines check that they serve the same fleet.

Machines whose digests differ refuse each other's streams, so the digested text must stay the same
from release to release: during an upgrade machines of two releases speak to each other. The text
is the Python form of the file's records as the first release wrote it. `AssignmentRules` has other
field names by now; the names in the text are in `RULES_FIELDS`.
"""

from __future__ import annotations

from hashlib import blake2b

from loadbalancer.control.machine.file import ScaleFile
from loadbalancer.core.assignment.rules import AssignmentRules

# Field names in the digested text, and the fields of `AssignmentRules` that they stand for.
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
    """Digest everything that an assignment depends on, as hexadecimal digits."""
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
