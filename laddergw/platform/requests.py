"""Parses a viewer's set-up into the request that the controller gets.

A set-up with any invalid part is refused as a whole; no choice is made here.
"""

import math
import re
from typing import NamedTuple

from laddergw.interface import PlayRequest
from laddergw.platform.configuration import Configuration
from laddergw.signalling import binary

NUMBER_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?")
TITLE_PATTERN = re.compile(r"[0-9a-f]{16}")
# Longest patience as a multiple of the longest time limit: a viewer's clock may round up.
MAX_PATIENCE_RATIO = 2.0
# About a day: no hint is longer.
MAX_HINT_MS = 1e8
# Figures count cells and rungs: one more than there are is still valid.
COUNT_ALLOWANCE = 1.0


class UnusableRequestError(Exception):
    """A set-up that is refused as invalid; the text says why."""


class Request(NamedTuple):
    """A parsed set-up: the controller's request, and what is passed on to a media node."""

    play_request: PlayRequest
    product: str
    title: str
    node_id: str  # id of the node where the play runs already; empty for a new one
    description: bytes


def text_parameter(message: binary.Message, code: int, min_length: int = 1) -> str:
    """Returns an ASCII parameter of `min_length` to 1024 bytes; a missing one counts as empty."""
    value = message.parameters.get(code, b"")
    if not min_length <= len(value) <= 1024 or not value.isascii():
        raise UnusableRequestError(f"parameter {code}: {value[:40]!r}")
    return value.decode("ascii")


def product_parameter(message: binary.Message) -> str:
    """Returns the product's name, which may be any UTF-8 text."""
    try:
        return message.parameters.get(binary.PRODUCT, b"").decode()
    except UnicodeDecodeError:
        raise UnusableRequestError("the product is not valid UTF-8") from None


def parse_number(text: str, name: str, low: float, high: float) -> float:
    """Returns a decimal number within [low, high]; `name` is for the error."""
    if not NUMBER_PATTERN.fullmatch(text) or not low <= float(text) <= high:
        raise UnusableRequestError(f"{name}: {text[:40]!r}")
    return float(text)


def read(message: binary.Message, configuration: Configuration) -> Request:
    """Returns the request of a set-up; raises UnusableRequestError for an invalid one."""
    if message.parameters is None:
        raise UnusableRequestError("the parameters do not fit into the message")
    deployment, figures = configuration.deployment, {}
    for part in text_parameter(message, binary.ATTRIBUTES).split(";"):
        name, colon, value = part.partition(":")
        if not colon or name in figures:
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
    hint, cells, node_id = (
        text_parameter(message, binary.HINT, 0),
        deployment.cells,
        figures.get("at", ""),
    )
    # No viewer waits for the answer to a hand-over, so its patience is ignored.
    wait = (
        math.inf
        if node_id
        else parse_number(
            text_parameter(message, binary.WAIT_LIMIT),
            "patience",
            0,
            MAX_PATIENCE_RATIO * configuration.longest_limit_ms,
        )
    )
    play_request = PlayRequest(
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
    return Request(play_request, product, title, node_id, description)
