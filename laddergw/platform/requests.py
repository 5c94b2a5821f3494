"""Reads a viewer's set-up into what the module is asked.

What makes no sense is refused whole; no choice is made.
"""

import math
import re
from typing import NamedTuple

from laddergw.interface import PlayRequest
from laddergw.platform.configuration import Configuration
from laddergw.signalling import binary

NUMBER_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
TITLE_PATTERN = re.compile(r"[0-9a-f]{16}")
MAX_PATIENCE_RATIO = (
    2.0  # longest patience over the longest time limit told: a viewer's clock may round up
)
MAX_HINT_MS = 1e8  # a day: no play is hinted to last longer
COUNT_ALLOWANCE = 1.0  # figures are counts of cells and rungs: one over the last is still within


class UnusableRequestError(Exception):
    """A set-up that is refused; the text says why."""


class Request(NamedTuple):
    """What a viewer asks for: what the module is asked, and what passes on to a media node."""

    play_request: PlayRequest
    product: str
    title: str
    playing_at: str  # the node where it plays already, or empty
    description: bytes


def text_parameter(message: binary.Message, code: int, least: int = 1) -> str:
    value = message.parameters.get(code, b"")
    if not least <= len(value) <= 1024 or not value.isascii():
        raise UnusableRequestError(f"parameter {code}: {value[:40]!r}")
    return value.decode("ascii")


def product_parameter(message: binary.Message) -> str:
    """As the settings name it: any text."""
    try:
        return message.parameters.get(binary.PRODUCT, b"").decode()
    except UnicodeDecodeError:
        raise UnusableRequestError("a product that is no text") from None


def parse_number(text: str, name: str, low: float, high: float) -> float:
    if not NUMBER_PATTERN.fullmatch(text) or not low <= float(text) <= high:
        raise UnusableRequestError(f"{name}: {text[:40]!r}")
    return float(text)


def read(message: binary.Message, configuration: Configuration) -> Request:
    if message.parameters is None:
        raise UnusableRequestError("parameters that do not fit")
    deployment, figures = configuration.deployment, {}
    for part in text_parameter(message, binary.ATTRIBUTES).split(";"):
        name, mark, value = part.partition(":")
        if not mark or name in figures:
            raise UnusableRequestError(f"figures: {part[:40]!r}")
        figures[name] = value
    product, title = product_parameter(message), text_parameter(message, binary.TITLE)
    description = message.parameters.get(binary.DESCRIPTION, b"")
    if (
        product not in configuration.products
        or not TITLE_PATTERN.fullmatch(title)
        or message.session == "0" * 16
        or not (description or "at" in figures)
    ):
        raise UnusableRequestError(
            f"{product[:40]!r}, {title[:40]!r}, {message.session}, "
            f"description of {len(description)}"
        )
    hint, cells, at = (
        text_parameter(message, binary.HINT, 0),
        deployment.cells,
        figures.get("at", ""),
    )
    # Nobody waits for a play that is handed over; its patience says nothing
    wait = (
        math.inf
        if at
        else parse_number(
            text_parameter(message, binary.WAIT_LIMIT),
            "patience",
            0,
            MAX_PATIENCE_RATIO * configuration.longest_limit_ms,
        )
    )
    ask = PlayRequest(
        int(message.session, 16),
        configuration.products[product],
        int(title, 16),
        parse_number(figures.get("home", ""), "home", 0, cells),
        parse_number(figures.get("copies", ""), "copies", 0, cells + COUNT_ALLOWANCE),
        parse_number(figures.get("top", ""), "top", 0, len(deployment.ladder) + COUNT_ALLOWANCE),
        parse_number(hint, "hint", 0, MAX_HINT_MS) or None if hint else None,
        wait,
        figures.get("again") == "1",
    )
    return Request(ask, product, title, at, description)
