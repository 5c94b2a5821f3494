"""Reads a viewer's set-up into what the module is asked.

What makes no sense is refused whole; no choice is made.
"""

import math
import re
from typing import NamedTuple

from laddergw.interface import Asked
from laddergw.platform.assignment import Assignment
from laddergw.signalling import binary

FIGURE = re.compile(r"\d{1,9}(\.\d{1,9})?")
TITLE = re.compile(r"[0-9a-f]{16}")
PATIENCE_MOST = (
    2.0  # longest patience over the longest time limit told: a viewer's clock may round up
)
HINT_MOST_MS = 1e8  # a day: no play is hinted to last longer
AHEAD = 1.0  # figures are counts of cells and rungs: one over the last is still within


class UnusableError(Exception):
    """A set-up that is refused; the text says why."""


class Request(NamedTuple):
    """What a viewer asks for: what the module is asked, and what passes on to a media node."""

    ask: Asked
    product: str
    title: str
    at: str  # the node where it plays already, or empty
    description: bytes


def text_of(message: binary.Message, code: int, least: int = 1) -> str:
    value = message.parameters.get(code, b"")
    if not least <= len(value) <= 1024 or not value.isascii():
        raise UnusableError(f"parameter {code}: {value[:40]!r}")
    return value.decode("ascii")


def product_of(message: binary.Message) -> str:
    """As the settings name it: any text."""
    try:
        return message.parameters.get(binary.PRODUCT, b"").decode()
    except UnicodeDecodeError:
        raise UnusableError("a product that is no text") from None


def figure(text: str, name: str, low: float, high: float) -> float:
    if not FIGURE.fullmatch(text) or not low <= float(text) <= high:
        raise UnusableError(f"{name}: {text[:40]!r}")
    return float(text)


def read(message: binary.Message, assignment: Assignment) -> Request:
    if message.parameters is None:
        raise UnusableError("parameters that do not fit")
    deployment, figures = assignment.deployment, {}
    for part in text_of(message, binary.ATTRIBUTES).split(";"):
        name, mark, value = part.partition(":")
        if not mark or name in figures:
            raise UnusableError(f"figures: {part[:40]!r}")
        figures[name] = value
    product, title = product_of(message), text_of(message, binary.TITLE)
    description = message.parameters.get(binary.DESCRIPTION, b"")
    if (
        product not in assignment.products
        or not TITLE.fullmatch(title)
        or message.session == "0" * 16
        or not (description or "at" in figures)
    ):
        raise UnusableError(
            f"{product[:40]!r}, {title[:40]!r}, {message.session}, "
            f"description of {len(description)}"
        )
    hint, cells, at = text_of(message, binary.HINT, 0), deployment.cells, figures.get("at", "")
    # Nobody waits for a play that is handed over; its patience says nothing
    wait = (
        math.inf
        if at
        else figure(
            text_of(message, binary.WAIT_LIMIT),
            "patience",
            0,
            PATIENCE_MOST * assignment.longest_ms,
        )
    )
    ask = Asked(
        int(message.session, 16),
        assignment.products[product],
        int(title, 16),
        figure(figures.get("home", ""), "home", 0, cells),
        figure(figures.get("copies", ""), "copies", 0, cells + AHEAD),
        figure(figures.get("top", ""), "top", 0, len(deployment.ladder) + AHEAD),
        figure(hint, "hint", 0, HINT_MOST_MS) or None if hint else None,
        wait,
        figures.get("again") == "1",
    )
    return Request(ask, product, title, at, description)
