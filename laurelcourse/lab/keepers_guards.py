"""By check of `lab keepers`, how the guard that it watches is taken out, in this process, and put back."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

Undo = list[tuple[Any, str, Any]]


@contextlib.contextmanager
def out(name: str) -> Iterator[None]:
    """Without the guard of this name; '' takes none out."""
    undo: Undo = []

    def put(where: Any, what: str, instead: Any) -> Any:  # noqa: ANN401
        undo.append((where, what, getattr(where, what)))
        setattr(where, what, instead)
        return undo[-1][2]
    try:
        if name:
            GUARDS[name](put)
        yield
    finally:
        for where, what, before in reversed(undo):
            setattr(where, what, before)


GUARDS: dict[str, Callable[[Callable], None]] = {}
