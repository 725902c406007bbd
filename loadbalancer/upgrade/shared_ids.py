"""Tells the other process of a node at once which request ids this process uses.

Without it a request could run a second time in the other process, under the id of one that is open
in this one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loadbalancer.upgrade.messages import RequestIdsChanged

if TYPE_CHECKING:
    from loadbalancer.core.request_ids import RequestIdTable
    from loadbalancer.upgrade.link import Link


def report_changes(request_ids: RequestIdTable, link: Link) -> None:
    """Send each change of the ids in use, from now until the sharing ends."""
    request_ids.on_begin = lambda request_id: link.send(RequestIdsChanged((request_id,), ()))
    request_ids.on_release = lambda request_id: link.send(RequestIdsChanged((), (request_id,)))
