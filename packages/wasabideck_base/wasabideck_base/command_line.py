"""Command lines on fire: help for every command, one clear line for a wrong one."""

from __future__ import annotations

import inspect
import io
import os
import re
import sys
from collections.abc import Callable, Sequence
from contextlib import redirect_stderr, redirect_stdout
from functools import partial
from typing import TypeVar

import fire
from attrs import define, field
from fire.decorators import SetParseFn, SetParseFns
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["CommandError", "Planned", "commands", "run_commands"]

T = TypeVar("T")
METADATA = "FIRE_METADATA"
EXIT_FAILED = 1
EXIT_WRONG = 2

# Names of all flags that take no value.
_switches: set[str] = set()


class CommandError(WasabideckError):
    """The command line is wrong; nothing was done."""

    exit_code = EXIT_WRONG


@define
class Planned:
    """A command that has been understood and not yet begun."""

    _run: Callable[[], None] = field(repr=False)

    def begin(self) -> None:
        """Carry the command out."""
        self._run()


def commands(cls: type[T]) -> type[T]:
    """Class whose public methods are commands, read by their annotations.

    Fire calls a command before it has looked at the rest of the line: a misspelt
    flag would be reported after the ticket was submitted. What fire calls is
    therefore only a plan, and ``run_commands`` begins it when the whole line has
    been understood.
    """
    for name, function in list(vars(cls).items()):
        if name.startswith("_"):
            continue
        if inspect.isfunction(function):
            setattr(cls, name, _command(function))
        elif isinstance(function, staticmethod):
            setattr(cls, name, staticmethod(_command(function.__func__)))
    return cls


def run_commands(
    group: object, name: str, args: Sequence[str] | None = None, more_help: str = ""
) -> None:
    """Run one command line; leaves the process with one clear line on a failure.

    ``more_help`` is printed below the help of all commands.
    """
    args = sys.argv[1:] if args is None else args
    try:
        _understand(group, name, args, more_help).begin()
        sys.stdout.flush()
    except WasabideckError as exc:
        line = " ".join(str(exc).split())
        print(f"{name}: {type(exc).__name__}: {line}", file=sys.stderr)
        sys.exit(getattr(exc, "exit_code", EXIT_FAILED))
    except BrokenPipeError:
        # The reader (``| head``) went away: nothing is left to be told to it, and
        # the interpreter must not fail again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)


def _command(function: Callable[..., None]) -> Callable[..., Planned]:
    def plan(*args: object, **kwargs: object) -> Planned:
        return Planned(lambda: function(*args, **kwargs))

    plan.__name__ = function.__name__
    plan.__doc__ = function.__doc__
    plan.__signature__ = inspect.signature(function)
    readers = {}
    for name, parameter in plan.__signature__.parameters.items():
        if parameter.kind is parameter.VAR_POSITIONAL:
            plan = SetParseFn(str)(plan)
        elif parameter.annotation in _READERS:
            readers[name] = partial(_READERS[parameter.annotation], name)
        if parameter.annotation == "bool":
            _switches.add(name)
    return SetParseFns(**readers)(plan)


def _understand(
    group: object, name: str, args: Sequence[str], more_help: str
) -> Planned:
    """The plan of a command line; raises ``CommandError`` on a wrong one."""
    shown = io.StringIO()
    try:
        # Fire would page its help through a process of its own on a terminal.
        with redirect_stderr(shown), redirect_stdout(shown):
            planned = fire.Fire(group, [_valued(a) for a in args], name, _nothing)
    except fire.core.FireExit as exc:
        if exc.code:
            raise CommandError(_why(exc, name)) from None
        print(_help(shown.getvalue()))
        if exc.trace.GetResult() is group and more_help:
            print(f"\n{more_help}")
        sys.exit(0)
    if not isinstance(planned, Planned):
        given = " ".join([name, *args])
        raise CommandError(f"a command is missing; see {given} --help")
    return planned


def _help(text: str) -> str:
    """Fire's help, without its own remarks and the attribute that it adds."""
    text = re.sub(r"^INFO: .*\n+", "", text).strip()
    if METADATA in text:
        text = text.replace(" GROUP | ", " ")
        text = re.sub(rf"\n+GROUPS\n.*\n\n +{METADATA}", "", text)
    return text


def _why(exc: fire.core.FireExit, name: str) -> str:
    why = exc.trace.elements[-1].ErrorAsStr()
    why = why.replace("Could not consume arg:", "no such command or flag:")
    return f"{why}; see {name} --help"


def _valued(arg: str) -> str:
    # ``--json FILE`` would take the file for the flag's value.
    return f"{arg}=True" if arg.startswith("--") and arg[2:] in _switches else arg


def _nothing(planned: object) -> str:
    return ""


def _number(kind: type, name: str, text: str) -> float:
    try:
        return kind(text)
    except ValueError:
        raise CommandError(f"{name} = {text!r}: must be a number") from None


def _switch(name: str, text: str) -> bool:
    if text not in ("True", "False"):
        raise CommandError(f"{name} = {text!r}: takes no value")
    return text == "True"


def _text(name: str, text: str) -> str:
    return text


# Annotations are strings, as in every module that postpones their evaluation.
_READERS: dict[str, Callable[[str, str], object]] = {
    "bool": _switch,
    "float": partial(_number, float),
    "int": partial(_number, int),
    "str": _text,
}
