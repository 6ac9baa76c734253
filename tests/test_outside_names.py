"""Names that leave a process stay as they are: ``outside_names.txt`` against the code.

Clients, backend servers, peers of another release, stored rows, settings files,
command lines and dashboards know these names. The list is compared with what the code
sends, stores and reads; ``python tests/test_outside_names.py`` writes it anew.
"""

import ast
import re
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LIST = Path(__file__).with_name("outside_names.txt")
LAB = "wasabideck_lab"
GENERATED = re.compile(r"_(pb2|grpc)\.py$")
WORD = re.compile(r"[A-Za-z0-9_][\w.\-/]*")
HEADER = re.compile(r"\b[A-Z][A-Za-z]*(?:-[A-Z][A-Za-z]*)*(?=: ?)")
# Texts of these calls and statements are read by people only.
TEXT_CALLS = {"print", "TypeVar", "NewType"}
# Classes whose attributes are written out under their own names.
WRITTEN = {
    "settings": {
        "AccessSettings",
        "AgentSettings",
        "CallerSettings",
        "EntrySettings",
        "OperatorSettings",
        "PlatformSettings",
        "ProcessSettings",
        "ServerSettings",
        "ServiceSettings",
        "TlsSettings",
        "WeightsSettings",
    },
    "fields of rows and answers": {
        "Assignment",
        "Change",
        "Claim",
        "Delivery",
        "Head",
        "Serving",
        "Manifest",
        "Member",
        "ReportFilter",
        "ServerState",
        "Ticket",
    },
}


def _sources():
    paths = [*ROOT.glob("packages/*/*/*.py"), *ROOT.glob("platform/**/*.py")]
    kept = (p for p in sorted(paths) if LAB not in p.parts)
    return [p for p in kept if not GENERATED.search(p.name)]


def _trees():
    return [ast.parse(path.read_text()) for path in _sources()]


def _called(node):
    func = node.func
    return func.attr if isinstance(func, ast.Attribute) else getattr(func, "id", "")


def _texts_for_people(tree):
    """Constants that stand in docstrings, errors, annotations and ``__all__``."""
    found = set()
    for node in ast.walk(tree):
        parts = []
        if isinstance(node, ast.Raise):
            parts = [node]
        elif isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            parts = [node]
        elif isinstance(node, ast.Call) and _called(node) in TEXT_CALLS:
            parts = [node]
        elif isinstance(node, ast.Assign):
            names = [getattr(target, "id", "") for target in node.targets]
            parts = [node] if "__all__" in names else []
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            parts = [arg.annotation for arg in ast.walk(node.args) if _annotated(arg)]
            parts += [node.returns] if node.returns else []
        elif isinstance(node, ast.AnnAssign):
            parts = [node.annotation]
        elif isinstance(node, ast.Subscript) and _is_callable_type(node):
            parts = [node]
        found.update(id(inner) for part in parts for inner in ast.walk(part))
    return found


def _is_callable_type(node):
    """Whether it is a type alias, whose strings are names of classes."""
    return getattr(node.value, "id", "") == "Callable"


def _annotated(arg):
    return isinstance(arg, ast.arg) and arg.annotation is not None


def _strings():
    """Words of texts without spaces, and names of headers in any text."""
    found = set()
    for tree in _trees():
        skipped = _texts_for_people(tree)
        for node in ast.walk(tree):
            if not isinstance(node, ast.Constant) or id(node) in skipped:
                continue
            if not isinstance(node.value, str | bytes):
                continue
            value = node.value
            text = value.decode("latin-1") if isinstance(value, bytes) else value
            found.update(HEADER.findall(text))
            if text and not re.search(r"[\s\[\]\\(){}%^$]", text.strip()):
                found.update(WORD.findall(text))
    return {word for word in found if len(word) > 1}


def _event_fields():
    found = set()
    for tree in _trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and _called(node) in (
                "announce_ready",
                "dict",
                "emit",
                "_log_end",
            ):
                found.update(k.arg for k in node.keywords if k.arg)
    return found


def _attributes(classes):
    found = set()
    for tree in _trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef) and node.name in classes:
                found.update(
                    s.target.id
                    for s in node.body
                    if isinstance(s, ast.AnnAssign) and not s.target.id.startswith("_")
                )
    return found


def _errors():
    """Types of failures, which are reported as reasons."""
    bases = {"WasabideckError"}
    classes = [n for t in _trees() for n in ast.walk(t) if isinstance(n, ast.ClassDef)]
    while True:
        more = {
            node.name
            for node in classes
            if any(getattr(base, "id", "") in bases for base in node.bases)
        }
        if more <= bases:
            return {name for name in bases if not name.startswith("_")}
        bases |= more


def _commands():
    """Commands and flags: public methods and their arguments."""
    found = set()
    for tree in _trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.ClassDef):
                continue
            if not any(getattr(d, "id", "") == "commands" for d in node.decorator_list):
                continue
            for method in node.body:
                if not isinstance(method, ast.FunctionDef):
                    continue
                if method.name.startswith("_"):
                    continue
                found.add(method.name)
                args = [*method.args.args, *method.args.kwonlyargs]
                found.update(arg.arg for arg in args if arg.arg != "self")
    return found


def _protocol():
    text = (ROOT / "packages/wasabideck_wire/wasabideck_wire/inner.proto").read_text()
    text = re.sub(r"//.*", "", text)
    found = set(re.findall(r"(\w+) = \d+;", text))
    found.update(re.findall(r"(?:package|service|message|enum|rpc|oneof) (\w+)", text))
    return found


def _programs():
    text = (ROOT / "deploy/system.toml").read_text()
    found = set(re.findall(r"^\[roles\.(\w+)\]", text, re.MULTILINE))
    found.update(re.findall(r"^(\w+) =", text, re.MULTILINE))
    for path in ROOT.glob("packages/*/pyproject.toml"):
        found.update(re.findall(r"^([\w-]+) = \"\w+\.__main__", path.read_text(), re.M))
    return found


SECTIONS = {
    "words of requests, answers, rows, settings, metrics and events": _strings,
    "fields of events": _event_fields,
    "settings": lambda: _attributes(WRITTEN["settings"]),
    "fields of rows and answers": lambda: _attributes(
        WRITTEN["fields of rows and answers"]
    ),
    "types of failures": _errors,
    "commands and flags": _commands,
    "inner protocol": _protocol,
    "programs and the deploy file": _programs,
}


def _listed():
    sections = {}
    for line in LIST.read_text().splitlines():
        if line.startswith("# "):
            names = sections.setdefault(line[2:], [])
        elif line:
            names.append(line)
    return sections


@pytest.mark.parametrize("section", SECTIONS)
def test_a_name_that_leaves_the_process_is_neither_lost_nor_unlisted(section):
    # A renaming inside must not change what clients, peers, rows or files hold.
    assert sorted(SECTIONS[section]()) == _listed()[section]


def main():
    """Write the list as the code is now."""
    lines = []
    for section, find in SECTIONS.items():
        lines += [f"# {section}", *sorted(find())]
    LIST.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    sys.exit(main())
