"""The operators' numbered declarations, which may be merged in any order."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

__all__ = [
    "CONFIGURATION",
    "Declaration",
    "Declarations",
    "weights_key",
    "model_of_key",
]

# Key of the operators' configuration.
CONFIGURATION = "configuration"


def weights_key(model: str) -> str:
    """Return the key of the declared version of a model's weights."""
    return f"weights/{model}"


def model_of_key(key: str) -> str:
    """Return the model of a key that ``weights_key`` returned."""
    return key.partition("/")[2]


# Maximum number of keys: the configuration, and the models of a deployment. A peer that
# sends further keys is faulty.
MAX_KEYS = 1000


@frozen
class Declaration:
    """The complete new state of one key, as it was declared.

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
    """The newest declaration of each key; its number never decreases.

    Keys beyond ``MAX_KEYS`` are ignored.

    The merge is commutative, idempotent and monotonic: stale reads of the store,
    duplicates and gossip messages may arrive in any order and revert nothing.
    """

    _newest: dict[str, Declaration] = field(factory=dict)

    def merge(self, received: Iterable[Declaration]) -> list[Declaration]:
        """Merge declarations; return those that are newer than the known ones."""
        newer = []
        for declaration in received:
            known = self._newest.get(declaration.key)
            if known is None and len(self._newest) >= MAX_KEYS:
                continue
            if known is None or declaration.number > known.number:
                self._newest[declaration.key] = declaration
                newer.append(declaration)
        return newer

    def numbers(self) -> dict[str, int]:
        """Return the newest number of each key."""
        return {key: known.number for key, known in self._newest.items()}

    def newer_than(self, numbers: dict[str, int]) -> list[Declaration]:
        """Return the declarations that are newer than the given numbers."""
        return [
            known
            for key, known in sorted(self._newest.items())
            if known.number > numbers.get(key, -1)
        ]

    def __len__(self) -> int:
        return len(self._newest)
