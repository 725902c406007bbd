"""Policies at a real node: what reaches backends, what clients are told, what a reload changes."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from fakes.files import routes_toml
from tests.harness import (
    LONG_MS,
    Running,
    accept,
    answer,
    config,
    launch,
    listen,
    node,
    patient_classes,
    request,
    roster,
    target,
    until,
)
from tests.scripted import Scripted

PLENTY = "[node]\nbudget = { part = 1.0, floor = 100 }"
ALL = 'retry_on = ["connect-failure", "refused", "reset-before-sent", "reset", "error", "timeout"]'
UNRUN = 'retry_on = ["connect-failure", "refused", "reset-before-sent"]'
COPIES: dict[str, object] = {
    "limits": {
        "max_attempts": 4,
        "dial_timeout": 250_000_000,
        "second_copies": True,
        "cancelling": True,
        "max_retry_after": 2_000_000_000,
    }
}


def text(balance: str = "", credit: str = "", more: str = "") -> str:
    hosts = ("app.svc", "*.app.svc", "[::1]")
    return routes_toml(balance, credit, more=more, hosts=hosts, head=PLENTY)


@contextlib.contextmanager
def under(
    tmp_path: Path, file: str, ways: tuple[str, ...] = (), settings: dict[str, object] | None = None
) -> Iterator[tuple[Running, Scripted]]:
    """A node under a routes file, before one scripted backend under three names."""
    path = tmp_path / "routes.toml"
    path.write_text(file)
    backend = Scripted(ways)
    known = roster(*(target(f"s-{i}", backend.port) for i in range(3)))
    try:
        with node(tmp_path, known, routes=str(path), settings=settings or {}) as n:
            yield n, backend
    finally:
        backend.close()


def ask(
    n: Running, cls: str, rid: str = "r1", path: str = "", timeout: int = 1500, **headers: str
) -> tuple[str, bytes]:
    """One request's status line and body."""
    client = n.connect()
    body = None if cls == "balance" else b"amount=5"
    path = path or f"/{cls}/7f3a"
    client.send(request(path, body, timeout, rid, X_Priority_Class=cls, **headers))
    line, _, got = client.message()
    client.close()
    return line, got


# ---- the matrix: class x way an attempt ends x policy ------------------

ATTEMPT_MS = 400  # of the policy that ends silent attempts itself
AIM_MS = 800  # where nothing but the class's aim ends a silent attempt
POLICIES = {
    "silent": text(),
    "once": text("attempts = 1", "attempts = 1"),
    "unrun": text(UNRUN, UNRUN),
    "all": text(f"{ALL}\nattempts = 3", UNRUN),
    "all, timed": text(f'{ALL}\nattempts = 3\nattempt_timeout = "{ATTEMPT_MS}ms"', UNRUN),
}
MAY_HAVE_RUN = ("error", "reset", "silent")


def attempts_granted(cls: str, way: str, policy: str) -> int:
    """How many attempts of one request, all ending this way, may reach a backend."""
    if policy == "once":
        return 1
    if way in MAY_HAVE_RUN:
        if cls == "credit" or policy == "unrun":
            return 1
        if policy == "silent" and way == "silent":
            return 1  # the usual patience is the whole aim, and leaves no time
    return 3 if policy == "all" and cls == "balance" else 4


def times_out(cls: str, way: str, policy: str) -> bool:
    """Whether it is the policy that ends a silent attempt, and not the class's aim."""
    return (cls, way, policy) == ("balance", "silent", "all")


def unhurried(cls: str, way: str, policy: str) -> dict[str, object]:
    """Settings under which no time ends but the one that is to end a silent attempt.

    The client's, LONG_MS, never does: a node whose process gets its turn some milliseconds late
    would have that one and an attempt's at once.
    """
    classes = patient_classes()
    if way == "silent" and not times_out(cls, way, policy):
        classes = [spec | {"target": AIM_MS * 1_000_000} for spec in classes]
    return {"classes": classes}


@pytest.mark.parametrize("policy", ["silent", "once", "unrun", "all"])
@pytest.mark.parametrize("way", ["error", "refused", "reset", "silent"])
@pytest.mark.parametrize("cls", ["balance", "credit"])
def test_no_attempt_beyond_the_policy_and_one_answer(
    tmp_path: Path, cls: str, way: str, policy: str
) -> None:
    settings = unhurried(cls, way, policy)
    file = POLICIES["all, timed" if times_out(cls, way, policy) else policy]
    with under(tmp_path, file, (way,) * 8, settings) as (n, backend):
        line, _ = ask(n, cls, timeout=LONG_MS)
        assert line.split(" ")[1] in ("502", "503")
        assert backend.received == {"r1": attempts_granted(cls, way, policy)}
    with under(tmp_path, file, (way,), settings) as (n, backend):
        line, body = ask(n, cls, timeout=LONG_MS)
        again = attempts_granted(cls, way, policy) > 1
        status = line.split(" ")[1]
        assert (status, body) == ("200", b"served") if again else status in ("502", "503")
        assert backend.received == {"r1": 2 if again else 1}


def test_a_credit_cut_before_its_last_byte_goes_again_and_after_it_never(tmp_path: Path) -> None:
    """A reset that comes in time, within 2 ms, which a busy machine may not manage each time."""
    with under(tmp_path, text(credit=UNRUN)) as (n, backend):
        for i in range(50):
            backend.ways = ["cut"]
            line, body = ask(n, "credit", f"r{i}")
            if body == b"served":
                break
            # Late, and its last byte may have come: failed, and not sent again.
            assert line.split()[1] == "502" and not backend.ways
        assert body == b"served" and backend.received == {f"r{i}": 1}


def test_a_credit_on_a_connection_that_its_backend_has_just_closed(tmp_path: Path) -> None:
    (tmp_path / "routes.toml").write_text(text(credit=UNRUN))
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, routes=str(tmp_path / "routes.toml")) as n:
            client = n.connect()
            client.send(request("/credit/7f3a", b"a", rid="r1"))
            peer = accept(backend)
            peer.message()
            peer.send(answer(b"served"))
            client.message()
            peer.reset()
            client.send(request("/credit/7f3a", b"b", rid="r2"))
            again = accept(backend)
            assert again.message()[1]["x-request-id"] == "r2"
            again.send(answer(b"served"))
            assert client.message()[2] == b"served"


@pytest.mark.parametrize("cls", ["balance", "credit"])
def test_the_module_answers_though_the_node_s_own_limit_is_due_in_the_same_turn(
    tmp_path: Path, cls: str
) -> None:
    """The process stands still until the attempt's end and the request's last limit are past."""
    with under(tmp_path, POLICIES["once"], ("silent",)) as (n, backend):
        client = n.connect()
        body = None if cls == "balance" else b"amount=5"
        client.send(request(f"/{cls}/7f3a", body, 500, "r1", X_Priority_Class=cls))
        until(lambda: backend.received["r1"] == 1)
        n.process.send_signal(signal.SIGSTOP)
        try:
            time.sleep(0.7)
        finally:
            n.process.send_signal(signal.SIGCONT)
        line, _, _ = client.message()
        client.close()
        assert line.split(" ")[1] in ("502", "503")


# ---- second copies over sockets ----------------------------------------

COPY = 'second_copy = { after = "40ms", most = 1.0 }\nattempts = 2'


def test_a_second_copy_is_served_and_the_first_ends(tmp_path: Path) -> None:
    with under(tmp_path, text(COPY), ("silent",), COPIES) as (n, backend):
        assert ask(n, "balance")[1] == b"served"
        assert backend.received == {"r1": 2}
        # Its slot is free again: the loser's connection was ended by the node.
        for i in range(5):
            assert ask(n, "balance", f"n{i}")[1] == b"served"


def test_both_answers_in_one_turn_are_one_answer(tmp_path: Path) -> None:
    (tmp_path / "routes.toml").write_text(text(COPY))
    with listen() as first, listen() as second:
        known = roster(
            *(target(f"s-{i}", s.getsockname()[1]) for i, s in ((1, first), (2, second)))
        )
        with node(
            tmp_path, known, routes=str(tmp_path / "routes.toml"), settings=COPIES
        ) as n:  # fmt: skip
            client = n.connect()
            client.send(request(rid="r1"))
            peers = [accept(first), accept(second)]
            for peer in peers:
                assert peer.message()[1]["x-request-id"] == "r1"
            # Stopped, the node finds both answers waiting when it goes on.
            n.process.send_signal(signal.SIGSTOP)
            for peer in peers:
                peer.send(answer(b"served"))
            n.process.send_signal(signal.SIGCONT)
            assert client.message()[2] == b"served"
            client.send(request(rid="r2"))
            peer = next(p for p in peers if p.more())
            peer.message()
            peer.send(answer(b"next"))
            assert client.message()[2] == b"next"
            assert not client.buffer


def test_a_client_that_leaves_with_both_out_costs_no_third_attempt(tmp_path: Path) -> None:
    with under(tmp_path, text(COPY), ("silent", "silent"), COPIES) as (n, backend):
        client = n.connect()
        client.send(request(rid="r1"))
        until(lambda: backend.received["r1"] == 2)
        client.reset()
        for i in range(5):
            assert ask(n, "balance", f"n{i}")[1] == b"served"
        assert backend.received["r1"] == 2


# ---- unknown hosts and paths, and every spelling -----------------------

REFUSED = {
    "host": (b"Host: other.org", b"404"),
    "host in brackets": (b"Host: [::2]", b"404"),
    "bad host": (b"Host: a b", b"400"),
    "suffix itself": (b"Host: svc", b"404"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_an_unknown_host_is_refused_at_once_and_goes_nowhere(tmp_path: Path, name: str) -> None:
    line, status = REFUSED[name]
    with under(tmp_path, text()) as (n, backend):
        client = n.connect()
        client.send(request().replace(b"Host: app.svc", line))
        head, _, body = client.ends().partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 " + status)
        assert body and str(backend.port).encode() not in body and b"topup" not in body
        assert not backend.received


SPELLED = {  # a target, and the status or the path that goes on
    "/balance/x": "/balance/x",
    "//balance//x": "/balance/x",
    "/./balance/../balance/x": "/balance/x",
    "/%62alance/%78": "/balance/x",
    "/balance/x?a=/../b%2F": "/balance/x?a=/../b%2F",
    "http://app.svc/balance/x": "/balance/x",
    "http://other.org/balance/x": "404",
    "/credit/../balance/x": "/balance/x",
    "/balance/../credit/x": "405",
    "/%63redit/x": "405",
    "/balance%2Fx": "400",
    "/balance/..%2Fcredit/x": "400",
    "/balance/%2e%2e%5Ccredit": "400",
    "/balance/%00": "400",
    "/../credit/x": "400",
    "/balancer": "403",
    "/balance/" + "x" * 8183: "/balance/" + "x" * 8183,
    "/balance/" + "x" * 8184: "400",
    "*": "400",
}


def test_no_spelling_of_a_path_reaches_a_backend_under_another_policy(tmp_path: Path) -> None:
    with under(tmp_path, text()) as (n, backend):
        for i, (spelling, expected) in enumerate(SPELLED.items()):
            client = n.connect()
            head = request(rid=f"r{i}", X_Priority_Class="").partition(b"\r\n")[2]
            client.send(b"GET " + spelling.encode() + b" HTTP/1.1\r\n" + head)
            line, _, _ = client.message()
            client.close()
            status = expected if expected.isdigit() else "200"
            assert line.split(" ")[1] == status, spelling
            if status == "200":
                assert backend.paths.pop() == expected
            assert not backend.paths


@pytest.mark.parametrize(
    ("sent", "goes_on"),
    [
        ("App.SVC", "app.svc"),
        ("app.svc.", "app.svc"),
        ("app.svc:8080", "app.svc:8080"),
        ("a.App.svc.:81", "a.app.svc:81"),
        ("[0:0::1]:80", "[::1]:80"),
    ],
)
def test_every_spelling_of_a_host_is_one(tmp_path: Path, sent: str, goes_on: str) -> None:
    with under(tmp_path, text()) as (n, backend):
        assert ask(n, "balance", Host=sent)[1] == b"served"
        assert backend.heads[0]["host"] == goes_on


def test_a_missing_host_or_another_class_than_the_routes_is_refused(tmp_path: Path) -> None:
    with under(tmp_path, text()) as (n, backend):
        assert ask(n, "balance", Host="")[0].startswith("HTTP/1.1 400")
        line, _ = ask(n, "credit", path="/balance/x")
        assert line.startswith("HTTP/1.1 40")
        client = n.connect()
        client.send(request("/balance/x", X_Priority_Class="credit"))
        assert client.ends().startswith(b"HTTP/1.1 400")
        assert not backend.received


def test_a_route_gives_a_path_of_its_own_to_a_class(tmp_path: Path) -> None:
    more = '[[service.route]]\nname = "pay"\npath = "/pay/{id}"\nclass = "credit"\n'
    with under(tmp_path, text(more=more), ("error",) * 4) as (n, backend):
        line, _ = ask(n, "credit", path="/pay/77")
        assert line.split(" ")[1] == "502"
        assert backend.received == {"r1": 1}
        assert ask(n, "balance", path="/pay/77", rid="r2")[0].split(" ")[1] in ("400", "405")


def test_refusals_are_counted_by_reason(tmp_path: Path) -> None:
    with under(tmp_path, text()) as (n, _):
        for host in ("x.org", "y.org"):
            ask(n, "balance", Host=host)
        ask(n, "balance", path="/none")
        n.process.send_signal(signal.SIGTERM)
        n.says("refused by the routes: denied 1")
        n.says("refused by the routes: unknown-host 2")


# ---- start and reload --------------------------------------------------


def test_a_bad_file_at_the_start_is_one_line_and_status_2(tmp_path: Path) -> None:
    path = tmp_path / "routes.toml"
    path.write_text(text(credit="attempts = 2\natempts = 1"))
    environ = config(tmp_path, roster(), 1) | {"PROXY_ROUTES": str(path)}
    process = launch(environ)
    _, log = process.communicate(timeout=20)
    assert process.returncode == 2
    assert log.count("\n") == 1
    assert f"{path}:9: [never-attempts]" in log and "(faults: 2)" in log


def test_another_kind_of_file_is_refused_with_its_faults(tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text('version = 1\nlisten = "127.0.0.1:0"\nconfig = "c"\nroutes = "r"\n')
    process = launch(config(tmp_path, roster(), 1) | {"PROXY_ROUTES": str(path)})
    _, log = process.communicate(timeout=20)
    assert process.returncode == 2
    assert log.count("\n") == 1 and f"{path}:1: [missing-key]" in log


def reload(n: Running, tmp_path: Path, file: str) -> None:
    new = tmp_path / "routes.new"
    new.write_text(file)
    new.rename(tmp_path / "routes.toml")
    n.process.send_signal(signal.SIGHUP)


def test_a_good_file_takes_over_whole_and_requests_keep_their_policy(tmp_path: Path) -> None:
    """The route of a request that waits to be tried again is taken away under it."""
    path = tmp_path / "routes.toml"
    path.write_text(text(f"{ALL}\nattempts = 2"))
    with listen() as backend:
        known = roster(target("s-1", backend.getsockname()[1]))
        with node(tmp_path, known, routes=str(path)) as n:
            client = n.connect()
            client.send(request(rid="r1"))
            peer = accept(backend)
            peer.message()
            gone = text().replace('prefix = "/balance"', 'prefix = "/saldo"')
            reload(n, tmp_path, gone)
            n.says("reloaded the configuration")
            assert ask(n, "balance", "r2")[0].split(" ")[1] == "403"
            peer.send(answer(b"", "500 Oops"))
            peer.message()  # again, as the file that it came under has it
            peer.send(answer(b"served"))
            assert client.message()[2] == b"served"


def test_a_bad_file_changes_nothing_and_says_where_and_how_many(tmp_path: Path) -> None:
    with under(tmp_path, text()) as (n, backend):
        bad = text(balance='attempts = "3"\nwanted = 5', more="x = 1")
        reload(n, tmp_path, bad)
        n.says("[wrong-type]")
        assert ask(n, "balance")[1] == b"served"
        assert ask(n, "balance", "r2", Host="none.org")[0].split(" ")[1] == "404"
        reload(n, tmp_path, text().replace("app.svc", "new.svc"))
        n.says("reloaded the configuration")
        assert ask(n, "balance", "r3", Host="new.svc")[1] == b"served"
        assert ask(n, "balance", "r4")[0].split(" ")[1] == "404"
        assert backend.received == {"r1": 1, "r3": 1}


def test_a_file_may_come_and_go_with_a_reload(tmp_path: Path) -> None:
    backend = Scripted()
    (tmp_path / "routes.toml").write_text(text())
    try:
        with node(tmp_path, roster(target("s-1", backend.port))) as n:
            assert ask(n, "balance", "r1", Host="none.org")[1] == b"served"
            plain = json.loads((tmp_path / "config.json").read_text())
            for routes, status in ((str(tmp_path / "routes.toml"), "404"), ("", "200")):
                new = tmp_path / "new.json"
                new.write_text(json.dumps(plain | {"routes": routes}))
                new.rename(tmp_path / "config.json")
                n.process.send_signal(signal.SIGHUP)
                n.says("reloaded the configuration")
                line, _ = ask(n, "balance", f"x{status}", Host="none.org")
                assert line.split(" ")[1] == status
    finally:
        backend.close()


# ---- a newcomer's way in -----------------------------------------------


def run(*words: str) -> subprocess.CompletedProcess[str]:
    import sys

    from tests.harness import ROOT

    return subprocess.run(
        [sys.executable, "-m", "loadbalancer", *words],
        cwd=ROOT, capture_output=True, text=True, timeout=60,
    )  # fmt: skip


def test_the_demo_plays_and_ends_well() -> None:
    done = run("demo", "--requests", "60")
    assert done.returncode == 0, done.stderr
    assert "without an answer" in done.stdout
    rows = {line.split()[0]: line.split()[1:] for line in done.stdout.splitlines() if line.strip()}
    assert int(rows["balance"][0]) + int(rows["credit"][0]) == 60
    assert sum(int(rows[f"s-{i}"][-1]) for i in range(1, 6)) == 0  # no effect twice


def test_an_unknown_command_says_which_there_are() -> None:
    done = run("chekc")
    assert done.returncode == 2 and "check FILE" in done.stderr


def test_the_node_without_a_file_imports_nothing_of_it(tmp_path: Path) -> None:
    """Memory and start-up of what is off must not change."""
    with node(tmp_path, roster()) as n:
        maps = Path(f"/proc/{n.process.pid}/maps").read_text()
        assert "tree_sitter" not in maps
