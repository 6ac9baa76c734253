"""Numbered declarations of the operators, merged from any source in any order."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

__all__ = [
    "CONFIGURATION",
    "Declaration",
    "Declarations",
    "weights_key",
    "weights_model",
]

# What the operators' configuration touches.
CONFIGURATION = "configuration"


def weights_key(model: str) -> str:
    """What a named version of a model's weights touches."""
    return f"weights/{model}"


def weights_model(key: str) -> str:
    """The model whose weights a key of ``weights_key`` touches."""
    return key.partition("/")[2]


@frozen
class Declaration:
    """The whole new state of one touched thing, as it was declared.

    Attributes
    ----------
    number : int
        Larger numbers replace smaller ones of the same key.
    content : bytes
        The declaration as the operator wrote it.
    """

    key: str
    number: int
    content: bytes


@define
class Declarations:
    """The newest declaration of each touched thing; numbers only grow.

    The merge is commutative, idempotent and monotone: stale reads of the store,
    repeats and what peers tell may come in any order and revert nothing.
    """

    _newest: dict[str, Declaration] = field(factory=dict)

    def merge(self, found: Iterable[Declaration]) -> list[Declaration]:
        """Take in declarations; returns those that replaced what was known."""
        newer = []
        for declaration in found:
            known = self._newest.get(declaration.key)
            if known is None or declaration.number > known.number:
                self._newest[declaration.key] = declaration
                newer.append(declaration)
        return newer

    def numbers(self) -> dict[str, int]:
        """Newest number of each touched thing."""
        return {key: known.number for key, known in self._newest.items()}

    def newer_than(self, numbers: dict[str, int]) -> list[Declaration]:
        """Declarations that whoever has these numbers lacks."""
        return [
            known
            for key, known in sorted(self._newest.items())
            if known.number > numbers.get(key, -1)
        ]

    def __len__(self) -> int:
        return len(self._newest)
