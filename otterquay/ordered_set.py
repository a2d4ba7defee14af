"""A set that is walked in the order of insertion.

A built-in set is walked in the order of its elements' hashes. Those of most objects come from their address, those
of strings from PYTHONHASHSEED, so what a walk over a set does comes in another order in another process.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, MutableSet
from typing import TypeVar

T = TypeVar("T", bound=Hashable)


class OrderedSet(MutableSet[T]):
    """A set kept as a dict's keys; the cost of each operation does not depend on its size."""

    __slots__ = ("_elements",)

    def __init__(self, elements: Iterable[T] = ()) -> None:
        self._elements = dict.fromkeys(elements)

    def __contains__(self, element: object) -> bool:
        return element in self._elements

    def __iter__(self) -> Iterator[T]:
        return iter(self._elements)

    def __len__(self) -> int:
        return len(self._elements)

    def add(self, element: T) -> None:
        """Add an element at the end, unless it is there."""
        self._elements[element] = None

    def discard(self, element: T) -> None:
        """Remove an element if it is there."""
        self._elements.pop(element, None)

    def clear(self) -> None:
        """Remove all elements."""
        self._elements.clear()
