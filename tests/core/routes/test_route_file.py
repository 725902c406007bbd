"""Tests that an invalid routes file yields exactly the expected faults, by line and rule."""

from __future__ import annotations

import io
from pathlib import Path

import pytest

from loadbalancer.cli.check import check_any
from loadbalancer.cli.commands import main as run_command
from loadbalancer.config.toml_file import FileError, parse
from loadbalancer.core import Effect, RequestClass, Scope, Settings
from loadbalancer.core.balancing.model import MS
from loadbalancer.core.routes.faults import Fault
from loadbalancer.core.routes.file import Result, decode
from tests.harness import ROOT
from tests.routefiles import GOOD, line_of, with_changes

SETTINGS = Settings(
    classes=(
        RequestClass("balance", 800 * MS, 2000 * MS),
        RequestClass("credit", 750 * MS, 3000 * MS, Effect.SIDE_EFFECT),
        RequestClass("topup", 750 * MS, 3000 * MS, Effect.TOKEN, Scope.ZONE, 5000 * MS),
    ),
    max_attempts=4,
    hedging=True,
    can_cancel=True,
)


def decode_text(text: str, settings: Settings | None = None) -> Result:
    try:
        raw, lines = parse(text.encode())
    except FileError as err:
        return Result(None, [Fault(err.line, err.rule, err.wrong, err.right)], [])
    return decode(raw, lines, settings)


def fault_lines(text: str, settings: Settings | None = None) -> list[tuple[int, str]]:
    return [(f.line, f.rule) for f in decode_text(text, settings).faults]


@pytest.mark.parametrize("settings", [None, SETTINGS])
def test_valid_file_has_no_faults_or_warnings(settings: Settings | None) -> None:
    result = decode_text(GOOD, settings)
    assert not result.faults
    assert not result.warnings
    assert result.table is not None
    assert [s.name for s in result.table.services] == ["topup"]


ROUTE = '\n[[service.route]]\nname = "more"\n'
CATCH_ALL = 'name = "rest"\nprefix = "/"\ndeny = true\n'

# name: (changes to the valid file, and for each expected fault a text in its line and its rule)
INVALID_FILES: dict[str, tuple[list[tuple[str, str]], list[tuple[str, str]]]] = {
    "invalid TOML": ([("version = 1", "version = ")], [("version", "syntax")]),
    "key twice": ([("attempts = 3", "attempts = 3\nattempts = 2")], [("attempts = 2", "syntax")]),
    "no version": ([("version = 1\n", "")], [("\n", "version")]),
    "other version": ([("version = 1", "version = 2")], [("version", "version")]),
    "version of another type": ([("version = 1", "version = true")], [("version", "version")]),
    "unknown key at the top": ([("[limits]", "[limts]")], [("[limts]", "unknown-key")]),
    "unknown key of a class": ([("attempts = 3", "atempts = 3")], [("atempts", "unknown-key")]),
    "unknown key of a budget": ([("floor = 3", "flor = 3")], [("flor", "unknown-key")]),
    "unknown key of a route": (
        [('class = "balance"', 'klass = "balance"')],
        [("klass", "unknown-key")],
    ),
    "duration without unit": ([('"800ms"', '"800"')], [('wanted = "800"', "bad-unit")]),
    "duration as a number": ([('"800ms"', "800")], [("wanted = 800", "bad-unit")]),
    "duration in hours": ([('"800ms"', '"1h"')], [('"1h"', "bad-unit")]),
    "zero duration": ([('"800ms"', '"0ms"')], [('"0ms"', "bad-value")]),
    "negative duration": ([('"800ms"', '"-5ms"')], [('"-5ms"', "bad-unit")]),
    "attempts as a string": ([("attempts = 3", 'attempts = "3"')], [('"3"', "wrong-type")]),
    "attempts as a boolean": ([("attempts = 3", "attempts = true")], [("= true", "wrong-type")]),
    "zero attempts": ([("attempts = 3", "attempts = 0")], [("attempts = 0", "bad-value")]),
    "unknown condition": ([('"reset", ', '"rest", ')], [('"rest", ', "bad-value")]),
    "unknown condition in a multi-line array": (
        [('retry_on = ["connect-failure", "refused", "reset", "error", "timeout"]',
          'retry_on = [\n  "refused",\n  "eror",\n]')],
        [('"eror"', "bad-value")],
    ),
    "unknown repeat": ([('"safe"', '"always"')], [('"always"', "bad-value")]),
    "no repeat": ([('repeat = "never"\n', "")], [("[class.credit]", "missing-key")]),
    "second attempt for a never-repeated class": (
        [('give_up = "3s"', 'give_up = "3s"\nattempts = 2')],
        [("attempts = 2", "never-attempts")],
    ),
    "second attempt inherited from defaults": (
        [("[defaults]", "[defaults]\nattempts = 2")],
        [("attempts = 2", "never-attempts")],
    ),
    "second attempt inherited from a base": (
        [('repeat = "never"', 'repeat = "never"\nbase = "balance"'),
         ("second_copy = { after", "# second_copy = { after")],
        [("attempts = 3", "never-attempts")],
    ),
    "second attempt granted by a route": (
        [('class = "credit"', 'class = "credit"\nattempts = 2')],
        [("attempts = 2", "never-attempts")],
    ),
    "path of a stricter class assigned to a safe class": (
        [('prefix = "/credit"\nclass = "credit"', 'prefix = "/credit"\nclass = "balance"')],
        [('prefix = "/credit"', "captures-stricter")],
    ),
    "part of a stricter class's path assigned to a safe class": (
        [(CATCH_ALL, 'name = "by-id"\npath = "/credit/{id}"\nclass = "balance"\n'
          "\n[[service.route]]\n" + CATCH_ALL)],
        [('path = "/credit/{id}"', "captures-stricter")],
    ),
    "path of a stricter class matched by a parameter": (
        [(CATCH_ALL, 'name = "by-id"\npath = "/{any}/{id}"\nclass = "balance"\n'
          "\n[[service.route]]\n" + CATCH_ALL), ('prefix = "/credit"', 'prefix = "/pay"')],
        [('path = "/{any}', "captures-stricter")],
    ),
    "catch-all route assigned to a safe class": (
        [("deny = true", 'class = "balance"'), ('prefix = "/credit"', 'path = "/credit"')],
        [('prefix = "/"', "captures-stricter")],
    ),
    "second copy for a never-repeated class": (
        [('give_up = "3s"', 'give_up = "3s"\nsecond_copy = { after = "9ms", most = 0.1 }')],
        [('"9ms"', "never-copy")],
    ),
    "never-repeated class retried when it may have run": (
        [('"reset-before-sent"', '"reset-before-sent", "timeout"')],
        [('"timeout"]\n\n[class.topup]', "never-condition")],
    ),
    "second copy for a keyed class": (
        [('scope = "zone"', 'scope = "zone"\nsecond_copy = { after = "9ms", most = 0.1 }'),
         ('class = "credit"', 'class = "topup"\nmethods = ["POST"]'),
         ('prefix = "/credit"', 'prefix = "/topup"')],
        [('"9ms"', "keyed-copy")],
    ),
    "keyed class without window": ([('window = "5s"\n', "")], [("[class.topup]", "keyed-window")]),
    "keyed class retried after its window": (
        [('window = "5s"', 'window = "1s"\nattempts = 3\nattempt_timeout = "500ms"')],
        [('"500ms"', "keyed-window")],
    ),
    "time-out over the give-up time": (
        [('give_up = "3s"', 'give_up = "3s"\ntimeout = "4s"')],
        [('"4s"', "timeout-over-give-up")],
    ),
    "attempt timeout over the total timeout": (
        [('attempt_timeout = "600ms"', 'attempt_timeout = "1600ms"')],
        [('"1600ms"', "attempt-over-timeout")],
    ),
    "attempts that don't fit": (
        [('attempt_timeout = "600ms"', 'attempt_timeout = "800ms"')],
        [("attempts = 3", "attempts-dont-fit")],
    ),
    "copy after its attempt's end": (
        [('after = "80ms"', 'after = "600ms"')],
        [('after = "600ms"', "copy-after-end")],
    ),
    "copy with one attempt": (
        [("attempts = 3", "attempts = 1")],
        [("second_copy", "copy-attempts")],
    ),
    "copy without bound": ([(", most = 0.05", "")], [("second_copy", "missing-key")]),
    "copy with both times": (
        [('after = "80ms"', 'after = "80ms", percentile = 95')],
        [("second_copy", "missing-key")],
    ),
    "more attempts than the limit": (
        [("attempts = 4", "attempts = 2")],
        [("attempts = 3", "attempts-over-most")],
    ),
    "budget part over 1": (
        [("part = 0.2, floor = 3", "part = 1.5, floor = 3")],
        [("part = 1.5", "budget-over-whole")],
    ),
    "negative budget": (
        [("part = 0.2, floor = 3", "part = -0.1, floor = 3")],
        [("part = -0.1", "budget-over-whole")],
    ),
    "node budget part over 1": (
        [("part = 0.2, floor = 5", "part = 2, floor = 5")],
        [("part = 2", "budget-over-whole")],
    ),
    "backoff maximum under its base": (
        [('most = "40ms"', 'most = "1ms"')],
        [("backoff", "backoff-order")],
    ),
    "wanted over the timeout": ([('"800ms"', '"1600ms"')], [('"1600ms"', "wanted-over-timeout")]),
    "unknown class of a route": (
        [('class = "credit"', 'class = "credits"')],
        [('"credits"', "unknown-class")],
    ),
    "unknown class among conditions": (
        [('class = "credit"', 'class = "credit"\nclasses = ["credti"]')],
        [('"credti"', "unknown-class"), ('prefix = "/credit"', "")],
    ),
    "unknown base": ([('scope = "zone"', 'scope = "zone"\nbase = "x"')], [('"x"', "unknown-base")]),
    "class that is its own base": (
        [('scope = "zone"', 'scope = "zone"\nbase = "topup"')],
        [('base = "topup"', "inherit-loop")],
    ),
    "cycle of bases": (
        [('repeat = "safe"', 'repeat = "safe"\nbase = "topup"'),
         ('scope = "zone"', 'scope = "zone"\nbase = "balance"')],
        [('base = "topup"', "inherit-loop"), ('base = "balance"', "inherit-loop"),
         ("second_copy", "keyed-copy")],
    ),
    "route's name twice": (
        [('name = "credit"', 'name = "balance"')],
        [('name = "balance"\nprefix = "/credit"', "duplicate-name")],
    ),
    "service's name twice": (
        [("deny = true", 'deny = true\n\n[[service]]\nname = "topup"  # again\n'
          'hosts = ["b.org"]\n\n[[service.route]]\nname = "a"\nprefix = "/"')],
        [("# again", "duplicate-name")],
    ),
    "host twice": (
        [('"*.example.org"', '"topup.example.org"')],
        [("hosts", "duplicate-host")],
    ),
    "host with a port": ([('"*.example.org"', '"a.org:80"')], [("hosts", "bad-host")]),
    "host in upper case": ([('"*.example.org"', '"A.org"')], [("hosts", "bad-host")]),
    "star in a host": ([('"*.example.org"', '"a.*.org"')], [("hosts", "bad-host")]),
    "no hosts": (
        [('hosts = ["topup.example.org", "*.example.org"]\n', "")],
        [("[[service]]", "missing-key")],
    ),
    "no service": ([(GOOD[GOOD.index("[[service]]") :], "")], [("version", "missing-key")]),
    "no catch-all": ([('prefix = "/"\n', 'prefix = "/rest"\n')], [("[[service]]", "no-catch")]),
    "equal routes": (
        [(CATCH_ALL, 'name = "b2"\nprefix = "/balance"  # again\nclass = "balance"\n'
          "\n[[service.route]]\n" + CATCH_ALL)],
        [("# again", "equal-routes")],
    ),
    "routes equal where their methods meet": (
        [('prefix = "/balance"\nclass', 'path = "/balance"\nmethods = ["GET"]\nclass'),
         (CATCH_ALL, 'name = "b2"\npath = "/balance"  # again\nmethods = ["GET", "POST"]\n'
          "\n[[service.route]]\n" + CATCH_ALL)],
        [("# again", "equal-routes")],
    ),
    "route whose methods exclude its class": (
        [('prefix = "/balance"\n', 'prefix = "/balance"\nmethods = ["POST"]\n')],
        [('prefix = "/balance"', "unreachable-route")],
    ),
    "route hidden by two others together": (
        [(CATCH_ALL, 'name = "g"\npath = "/x"\nmethods = ["GET"]\ndeny = true\n'
          '\n[[service.route]]\nname = "p"\npath = "/x"\nmethods = ["POST"]\ndeny = true\n'
          '\n[[service.route]]\nname = "x"\npath = "/x"  # hidden\n'
          "\n[[service.route]]\n" + CATCH_ALL)],
        [("# hidden", "unreachable-route")],
    ),
    "path and prefix": (
        [('prefix = "/credit"', 'prefix = "/credit"\npath = "/credit"')],
        [('prefix = "/credit"', "missing-key")],
    ),
    "path without slash": ([('"/credit"', '"credit"')], [('prefix = "credit"', "bad-path")]),
    "path with dots": ([('"/credit"', '"/a/../credit"')], [("/../", "bad-path")]),
    "path with an encoded slash": ([('"/credit"', '"/a%2Fb"')], [("%2F", "bad-path")]),
    "path with an encoded letter": ([('"/credit"', '"/%63redit"')], [("%63", "bad-path")]),
    "path with an empty segment": ([('"/credit"', '"/a//b"')], [("/a//b", "bad-path")]),
    "partial parameter": ([('"/credit"', '"/credit/x{id}"')], [("x{id}", "bad-path")]),
    "parameter twice": ([('"/credit"', '"/{a}/{a}"')], [("/{a}", "bad-path")]),
    "prefix with a slash at its end": ([('"/credit"', '"/credit/"')], [('"/credit/"', "bad-path")]),
    "deny with a policy key": (
        [("deny = true", "deny = true\nattempts = 2")],
        [("deny = true", "deny-grants")],
    ),
    "a route looser than its class": (
        [('class = "credit"', 'class = "credit"\nrepeat = "safe"')],
        [('"safe"\n\n[[service.route]]', "repeat-looser")],
    ),
    "unknown method": (
        [('class = "credit"', 'class = "credit"\nmethods = ["PUT"]')],
        [('"PUT"', "bad-value")],
    ),
    "several at once": (
        [("attempts = 3", "attempts = 9"), ('"5ms"', '"5 ms"'), ("deny = true", "deny = 1")],
        [('"5 ms"', "bad-unit"), ("attempts = 9", "attempts-over-most"),
         ("attempts = 9", "attempts-dont-fit"), ("deny = 1", "wrong-type")],
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", INVALID_FILES)
def test_invalid_file_is_rejected_with_line_and_rule(name: str) -> None:
    changes, expected = INVALID_FILES[name]
    text = with_changes(*changes)
    want = sorted((line_of(text, mark), rule) for mark, rule in expected if rule)
    assert sorted(fault_lines(text)) == want
    assert decode_text(text).table is None


CONTRADICTING_SETTINGS = {
    "a class the settings lack": ([("class.topup", "class.tpoup")], "class.tpoup", "unknown-class"),
    "looser than the settings": (
        [('repeat = "never"', 'repeat = "safe"'), ('prefix = "/credit"', 'prefix = "/pay"')],
        'repeat = "safe"\ngive_up = "3s"',
        "repeat-looser",
    ),
    "a window longer than servers remember": ([('"5s"', '"6s"')], '"6s"', "keyed-window"),
    "a scope wider than servers know": ([('"zone"', '"all"')], '"all"', "keyed-scope"),
    "clients that give up earlier": ([('"3s"', '"4s"')], '"4s"', "give-up-late"),
}


@pytest.mark.parametrize("name", CONTRADICTING_SETTINGS)
def test_file_that_contradicts_the_settings_is_rejected(name: str) -> None:
    changes, mark, rule = CONTRADICTING_SETTINGS[name]
    text = with_changes(*changes)
    assert (line_of(text, mark), rule) in fault_lines(text, SETTINGS)


def test_class_that_the_file_omits_is_checked_too() -> None:
    """Defaults apply to a class of the settings only, so its rules must be checked as well."""
    text = with_changes(
        ("[defaults]", "[defaults]\nattempts = 2"),
        (GOOD[GOOD.index("[class.credit]") : GOOD.index("[class.topup]")], ""),
        ('window = "5s"', 'window = "5s"\nattempts = 1'),
    )
    assert (line_of(text, "attempts = 2"), "never-attempts") in fault_lines(text, SETTINGS)


def test_check_command_prints_faults_and_returns_their_exit_status(tmp_path: Path) -> None:
    bad, good = tmp_path / "bad.toml", tmp_path / "good.toml"
    bad.write_text(with_changes(("attempts = 3", "atempts = 3"), ('"800ms"', '"800"')))
    good.write_text(GOOD)
    out = io.StringIO()
    assert run_command(["check", str(bad), str(good), "--explain"], out) == 2
    lines = out.getvalue().splitlines()
    assert lines[0].startswith(f"{bad}:15: [bad-unit] ")
    assert lines[1].startswith(f"{bad}:18: [unknown-key] ")
    assert "did you mean 'attempts'?" in lines[1]
    assert any("attempt_timeout" in x and "(class balance, line 17)" in x for x in lines)
    assert lines[-1] == f"{good}: good, 3 routes"
    assert run_command(["check", str(good)], io.StringIO()) == 0
    assert run_command(["check", str(tmp_path / "none.toml")], out) == 2


@pytest.mark.parametrize("name", ["routes.toml", "control.toml"])
def test_delivered_example_files_are_valid(name: str) -> None:
    result = check_any(str(ROOT / "deploy" / name), None)
    assert not result.faults
    assert not result.warnings
    assert run_command(["check", str(ROOT / "deploy" / name)], io.StringIO()) == 0


def test_parser_records_lines_for_every_key_syntax() -> None:
    text = b'a."b c".d = 1\n[[t]]\nx = [\n 1,\n 2]\n[[t]]\n[t.u]\ny = { z = 1 }\n'
    values, lines = parse(text)
    assert values == {
        "a": {"b c": {"d": 1}},
        "t": [{"x": [1, 2]}, {"u": {"y": {"z": 1}}}],
    }
    assert lines["a", "b c", "d"] == 1
    assert lines["t", 0] == 2
    assert lines["t", 1] == 6
    assert lines["t", 0, "x", 1] == 5
    assert lines["t", 1, "u", "y", "z"] == 8


@pytest.mark.parametrize("text", [b"\xff = 1", b"a = [", b"=", b"a = '''x", b"[" * 5000])
def test_invalid_toml_is_rejected_with_an_existing_line(text: bytes) -> None:
    with pytest.raises(FileError) as caught:
        parse(text)
    assert 1 <= caught.value.line <= text.count(b"\n") + 1
