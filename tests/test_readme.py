"""The README's library example runs as it stands."""

from __future__ import annotations

import contextlib
import io
import re
from pathlib import Path


def test_readme_example() -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    code = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(code) == 1
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(compile(code[0], "README.md", "exec"), {})
    assert out.getvalue() == "send request 1 to backend 7\n"
