"""Files of the product as tests and benchmarks need them: one place that knows their form."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

PATHS = ('prefix = "/balance"', 'prefix = "/credit"')
GRPC_BALANCE = 'attempts = 2\nretry_on = ["connect-failure", "refused", "error"]'
METHODS = ('path = "/topup.Topup/Balance"', 'path = "/topup.Topup/Credit"')


def routes_toml(
    balance: str = "",
    credit: str = "",
    paths: Sequence[str] = PATHS,
    more: str = "",
    hosts: Sequence[str] = ("app.svc",),
    service: str = "topup",
    head: str = "",
) -> str:
    """A routes file: class `balance` safe, `credit` never repeated, all else denied.

    `balance`, `credit`: further lines of the classes; `more`: further routes; `head`: sections
    before the classes.
    """
    named = zip(("balance", "credit"), paths, strict=True)
    routes = [f'name = "{cls}"\n{path}\nclass = "{cls}"\n' for cls, path in named]
    top = f'[[service]]\nname = "{service}"\nhosts = {json.dumps(list(hosts))}\n'
    classes = f'[class.balance]\nrepeat = "safe"\n{balance}\n[class.credit]\nrepeat = "never"\n'
    return "\n".join(
        (
            f"version = 1\n{head}\n{classes}{credit}\n{top}",
            *(f"[[service.route]]\n{route}" for route in routes),
            f'{more}\n[[service.route]]\nname = "rest"\nprefix = "/"\ndeny = true\n',
        )
    )


def write_config(path: Path, settings: dict[str, Any], known: object, **more: Any) -> Path:
    """A node's or pool's JSON configuration that listens at any port and discovers nothing."""
    raw = {
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "known": known, "settings": settings,
    } | more  # fmt: skip
    path.write_text(json.dumps(raw))
    return path


def write_control(
    folder: Path,
    settings: dict[str, Any],
    known: object,
    port: int = 0,
    discovery: str = "127.0.0.1:1",
    report_every: str = "0s",
    more: str = "",
) -> Path:
    """A control file for one pool of `METHODS`, with the routes and configuration it names."""
    (folder / "routes.toml").write_text(routes_toml(GRPC_BALANCE, paths=METHODS))
    write_config(folder / "config.json", settings, known, name="c1", discovery=discovery)
    path = folder / "control.toml"
    path.write_text(
        f'version = 1\nlisten = "127.0.0.1:{port}"\nreport_every = "{report_every}"\n'
        f'config = "config.json"\nroutes = "routes.toml"\n{more}'
    )
    return path
