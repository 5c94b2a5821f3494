"""What the platform tells a director: the file of its configuration, read and checked as a whole."""
import json
from typing import Any, NamedTuple

from laddergw import settings
from laddergw.interface import Deployment
from laddergw.signalling import changes


class Refused(Exception):
    """A configuration that is not taken; the text names what is wrong with it."""


class Assignment(NamedTuple):
    """One director's place and terms. Times in ms."""
    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int                             # descriptors that the process may hold
    changelog: tuple[str, int] | None
    known: list[changes.Event]
    last: int                                # number of the last known event
    deployment: Deployment
    products: dict[str, int]                 # by the name that viewers use
    kinds: dict[str, int]
    zones: dict[str, int]
    longest_ms: float                        # the longest time limit of a product
    connect_ms: float


def address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Refused(f"{text!r} is no address")
    return host.strip("[]"), int(port)


def names(values: dict[str, str], key: str) -> dict[str, int]:
    return {name: index for index, name in enumerate(values.get(key, "").split(","))}


def of(tree: Any) -> Assignment:
    """Checks a configuration whole: it holds, or it is refused and nothing changes."""
    try:
        values = settings.flatten(tree["settings"])
        deployment, read = settings.decode(values), settings.Reader(values)
        known = changes.known(tree["known"])
        grades = range(len(deployment.products))
        return Assignment(
            str(tree["name"]), address(tree["listen"]), int(str(tree.get("seed") or "0"), 16),
            int(tree.get("limits", {}).get("sockets", 1024)), address(tree["changelog"]) if tree.get("changelog") else None,
            known, tree["known"]["seq"], deployment, {read.word(f"Grades.{i}.Name"): i for i in grades},
            names(values, "Kinds"), names(values, "Zones"), max(read.ms(f"Grades.{i}.GiveUp") for i in grades),
            read.ms("Permissions.ConnectTimeout", 250.0))
    except (settings.BadSetting, changes.Malformed) as error:
        raise Refused(str(error)) from None
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise Refused(f"configuration: {error!r}") from None


def read_file(path: str) -> Assignment:
    try:
        with open(path, "rb") as file:
            return of(json.load(file))
    except (OSError, ValueError, RecursionError) as error:
        raise Refused(f"{path}: {error}") from None
