"""Reads the input of `laddergw rehearse soak`: seeds, plans, a deployment's settings."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec

from laddergw.lab.soak import plan as plans
from laddergw.lab.soak.messages import SETTINGS
from laddergw.lab.soak.terms import read_terms

# Descriptors that each director may hold.
SOCKETS = 256
SEEDS = re.compile(r"(\d{1,9})(?:-(\d{1,9}))?")


class InputError(Exception):
    """Input that cannot be used; the text is one line with the reason."""


def parse_seeds(text: str) -> list[int]:
    """Parses a seed or a range A-B. Raises InputError."""
    match = SEEDS.fullmatch(text)
    if match is None or (match[2] and int(match[2]) < int(match[1])):
        raise InputError(f"seeds: {text!r} is neither a number nor A-B")
    return list(range(int(match[1]), int(match[2] or match[1]) + 1))


def read_plan(path: Path) -> plans.Plan:
    """Reads the file of a plan. Raises InputError."""
    try:
        return plans.from_json(path.read_bytes())
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise InputError(f"{path}: not a plan: {error}") from None


def read_settings(path: Path | None) -> dict[str, Any]:
    """Reads the settings of a director's configuration file; without one, returns the trial's own.

    Raises InputError.
    """
    if path is None:
        return SETTINGS
    try:
        found = json.loads(path.read_bytes())["settings"]
        read_terms(found, SOCKETS)
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from None
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise InputError(f"{path}: not a director's configuration: {error!r}") from None
    return found
