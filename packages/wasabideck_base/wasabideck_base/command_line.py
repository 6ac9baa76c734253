"""Command lines based on fire, with help and single-line error messages."""

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
FIRE_METADATA = "FIRE_METADATA"
EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2

# Names of all flags without a value.
_flag_names: set[str] = set()


class CommandError(WasabideckError):
    """The command line is invalid; no command was run."""

    exit_code = EXIT_USAGE_ERROR


@define
class Planned:
    """A parsed command that has not been started."""

    _run: Callable[[], None] = field(repr=False)

    def begin(self) -> None:
        """Run the command."""
        self._run()


def commands(cls: type[T]) -> type[T]:
    """Make public methods of a class commands, with arguments parsed by annotation.

    Fire calls a command before it has parsed the rest of the line, so a misspelt
    flag would be reported after the ticket was submitted. Fire therefore only
    creates a ``Planned`` command, and ``run_commands`` starts it after the whole
    line has been parsed.
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
    """Run one command line; on failure print a single line and exit the process.

    ``more_help`` is printed below the help of all commands.
    """
    args = sys.argv[1:] if args is None else args
    try:
        _parse_line(group, name, args, more_help).begin()
        sys.stdout.flush()
    except WasabideckError as exc:
        line = " ".join(str(exc).split())
        print(f"{name}: {type(exc).__name__}: {line}", file=sys.stderr)
        sys.exit(getattr(exc, "exit_code", EXIT_FAILURE))
    except BrokenPipeError:
        # The reader of the pipe (such as ``| head``) has closed it. The remaining
        # output is discarded, and the interpreter must not fail again when it
        # flushes standard output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILURE)


def _command(function: Callable[..., None]) -> Callable[..., Planned]:
    def plan(*args: object, **kwargs: object) -> Planned:
        return Planned(lambda: function(*args, **kwargs))

    plan.__name__ = function.__name__
    plan.__doc__ = function.__doc__
    plan.__signature__ = inspect.signature(function)
    parsers = {}
    for name, parameter in plan.__signature__.parameters.items():
        if parameter.kind is parameter.VAR_POSITIONAL:
            plan = SetParseFn(str)(plan)
        elif parameter.annotation in _PARSERS:
            parsers[name] = partial(_PARSERS[parameter.annotation], name)
        if parameter.annotation == "bool":
            _flag_names.add(name)
    return SetParseFns(**parsers)(plan)


def _parse_line(
    group: object, name: str, args: Sequence[str], more_help: str
) -> Planned:
    """Parse a command line; raise ``CommandError`` if it is invalid."""
    output = io.StringIO()
    try:
        # On a terminal, fire would show its help in a separate pager process.
        with redirect_stderr(output), redirect_stdout(output):
            planned = fire.Fire(
                group, [_with_flag_value(a) for a in args], name, _no_output
            )
    except fire.core.FireExit as exc:
        if exc.code:
            raise CommandError(_error_message(exc, name)) from None
        print(_clean_help(output.getvalue()))
        if exc.trace.GetResult() is group and more_help:
            print(f"\n{more_help}")
        sys.exit(0)
    if not isinstance(planned, Planned):
        entered = " ".join([name, *args])
        raise CommandError(f"a command is missing; see {entered} --help")
    return planned


def _clean_help(text: str) -> str:
    """Return fire's help without its log lines and the attribute that it adds."""
    text = re.sub(r"^INFO: .*\n+", "", text).strip()
    if FIRE_METADATA in text:
        text = text.replace(" GROUP | ", " ")
        text = re.sub(rf"\n+GROUPS\n.*\n\n +{FIRE_METADATA}", "", text)
    return text


def _error_message(exc: fire.core.FireExit, name: str) -> str:
    message = exc.trace.elements[-1].ErrorAsStr()
    message = message.replace("Could not consume arg:", "no such command or flag:")
    return f"{message}; see {name} --help"


def _with_flag_value(arg: str) -> str:
    # Fire would parse the file in ``--json FILE`` as the value of the flag.
    return f"{arg}=True" if arg.startswith("--") and arg[2:] in _flag_names else arg


def _no_output(planned: object) -> str:
    return ""


def _parse_number(number_type: type, name: str, text: str) -> float:
    try:
        return number_type(text)
    except ValueError:
        raise CommandError(f"{name} = {text!r}: must be a number") from None


def _parse_flag(name: str, text: str) -> bool:
    if text not in ("True", "False"):
        raise CommandError(f"{name} = {text!r}: takes no value")
    return text == "True"


def _parse_string(name: str, text: str) -> str:
    return text


# Annotations are strings because of ``from __future__ import annotations``.
_PARSERS: dict[str, Callable[[str, str], object]] = {
    "bool": _parse_flag,
    "float": partial(_parse_number, float),
    "int": partial(_parse_number, int),
    "str": _parse_string,
}
