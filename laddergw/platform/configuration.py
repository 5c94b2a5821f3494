"""What the platform tells a director: its configuration file, read and checked as a whole."""

import json
import math
from typing import Any, NamedTuple

from laddergw import settings
from laddergw.interface import Deployment
from laddergw.signalling import changes


class ConfigurationError(Exception):
    """A configuration that is not taken; the text names what is wrong with it."""


class Configuration(NamedTuple):
    """One director's place and terms. Times in ms."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int  # descriptors that the process may hold
    changelog: tuple[str, int] | None
    known_events: list[changes.Event]
    last_event: int  # number of the last known event
    deployment: Deployment
    products: dict[str, int]  # by the name that viewers use
    all_products: dict[str, int]  # and those of earlier files
    kinds: dict[str, int]
    zones: dict[str, int]
    longest_limit_ms: float  # the longest time limit of a product
    connect_ms: float
    idle_ms: float  # nodes close connections that were idle for so long


def parse_address(tree: Any, key: str) -> tuple[str, int]:
    host, _, port = str(tree[key]).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{key}: {tree[key]!r} is no address")
    return host.strip("[]"), int(port)


def parse_integer(value: Any, key: str, base: int = 10) -> int:
    try:
        return int(value) if isinstance(value, float) else int(str(value), base)
    except (ValueError, OverflowError):
        raise ConfigurationError(f"{key}: {value!r} is no whole number") from None


def number_names(found: Any, key: str) -> dict[str, int]:
    """Names by their place, as they are told: with spaces, accents, whatever people write. Not from
    the flattened settings, which
    fold them into words."""
    told = [str(name) for name in found] if isinstance(found, list) else str(found or "").split(",")
    if len(set(told)) < len(told):
        raise ConfigurationError(f"settings {key}: a name is there twice: {told}")
    if any(
        sign < " " or sign == "\x7f" for sign in "".join(told)
    ):  # they would end a line of a message
        raise ConfigurationError(f"settings {key}: a name cannot be sent: {told!a}")
    return {name: index for index, name in enumerate(told)}


def parse(tree: Any) -> Configuration:
    """Checks a configuration whole: it holds, or it is refused and nothing changes."""
    try:
        told = tree["settings"]
        values = settings.flatten(told)
        deployment, read = settings.decode(values), settings.SettingsReader(values)
        known, products = (
            changes.parse_initial_events(tree["known"]),
            number_names([grade["Name"] for grade in told["Grades"]], "Grades"),
        )
        grades = range(len(deployment.products))
        return Configuration(
            str(tree["name"]),
            parse_address(tree, "listen"),
            parse_integer(tree.get("seed") or "0", "seed", 16),
            parse_integer(tree.get("limits", {}).get("sockets", 1024), "limits.sockets"),
            parse_address(tree, "changelog") if tree.get("changelog") else None,
            known,
            tree["known"]["seq"],
            deployment,
            products,
            products,
            number_names(told.get("Kinds"), "Kinds"),
            number_names(told.get("Zones"), "Zones"),
            max(read.ms(f"Grades.{i}.GiveUp") for i in grades),
            read.ms("Permissions.ConnectTimeout", 250.0),
            read.ms("Permissions.ConnIdle", math.inf) or math.inf,
        )
    except changes.MalformedError as error:
        raise ConfigurationError(f"known: {error}") from None
    except settings.SettingError as error:
        raise ConfigurationError(str(error)) from None
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise ConfigurationError(f"configuration: {error!r}") from None


def extend_numbers(before: dict[str, int], found: dict[str, int]) -> dict[str, int]:
    """All names, the ones from before in their numbers, what is new behind them."""
    return before | {
        name: len(before) + at
        for at, name in enumerate(name for name in found if name not in before)
    }


def keep_numbers(before: Configuration, found: Configuration) -> Configuration:
    """The file read anew, in the numbers of the one in force.

    What is held, counted and listed under a number keeps its meaning, however the new file orders
    its products, kinds and zones. Raises ConfigurationError for what cannot change while the
    director runs.
    """
    if found.listen != before.listen:
        raise ConfigurationError(
            f"listens at {before.listen}, and cannot at {found.listen} before it starts again"
        )
    products, kinds, zones = (
        extend_numbers(old, new)
        for old, new in (
            (before.all_products, found.products),
            (before.kinds, found.kinds),
            (before.zones, found.zones),
        )
    )
    old, new = before.deployment, found.deployment
    # A product that is there no more is worth nothing to the decisions, and nobody is let in under
    # its name
    rows = [
        new.products[found.products[name]]
        if name in found.products
        else old.products[number]._replace(importance=0.0)
        for name, number in products.items()
    ]
    streams = [
        streams_of(new, found.kinds[name]) if name in found.kinds else streams_of(old, number)
        for name, number in kinds.items()
    ]
    zone = next((name for name, number in found.zones.items() if number == new.zone), None)
    return found._replace(
        deployment=new._replace(
            products=tuple(rows), streams=tuple(streams), zone=zones.get(zone, new.zone)
        ),
        products={name: products[name] for name in found.products},
        all_products=products,
        kinds=kinds,
        zones=zones,
    )


def streams_of(deployment: Deployment, kind: int) -> float:
    return deployment.streams[min(kind, len(deployment.streams) - 1)]


def read_file(path: str) -> Configuration:
    """Raises ConfigurationError with one line that names the file and what is wrong with it."""
    if not path:
        raise ConfigurationError("PROXY_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            return parse(json.load(file))
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: {error}") from None
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path}: {error}") from None
