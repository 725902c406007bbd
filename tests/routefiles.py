"""A valid routes file and helpers to derive invalid ones from it."""

from __future__ import annotations

GOOD = """\
version = 1

[limits]
attempts = 4

[node]
budget = { part = 0.2, floor = 5 }

[defaults]
backoff = { base = "5ms", most = "40ms" }

[class.balance]
repeat = "safe"
give_up = "2s"
wanted = "800ms"
timeout = "1500ms"
attempt_timeout = "600ms"
attempts = 3
retry_on = ["connect-failure", "refused", "reset", "error", "timeout"]
budget = { part = 0.2, floor = 3 }
second_copy = { after = "80ms", most = 0.05 }

[class.credit]
repeat = "never"
give_up = "3s"
retry_on = ["connect-failure", "refused", "reset-before-sent"]

[class.topup]
repeat = "keyed"
scope = "zone"
window = "5s"

[[service]]
name = "topup"
hosts = ["topup.example.org", "*.example.org"]

[[service.route]]
name = "balance"
prefix = "/balance"
class = "balance"

[[service.route]]
name = "credit"
prefix = "/credit"
class = "credit"

[[service.route]]
name = "rest"
prefix = "/"
deny = true
"""


def with_changes(*changes: tuple[str, str]) -> str:
    """Return the valid file with the first occurrence of each `old` replaced by `new`."""
    text = GOOD
    for old, new in changes:
        assert old in text, old
        text = text.replace(old, new, 1)
    return text


def line_of(text: str, mark: str) -> int:
    """Return the line, counted from 1, where `mark` first occurs."""
    return text[: text.index(mark)].count("\n") + 1
