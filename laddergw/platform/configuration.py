"""A director's configuration file: reads it, checks it as a whole, and renumbers its names when it
is read again.
"""

import json
import math
from typing import Any, NamedTuple

from laddergw import settings
from laddergw.interface import Deployment
from laddergw.signalling import changes


class ConfigurationError(Exception):
    """A configuration that is refused; the text names what is wrong with it."""


class Configuration(NamedTuple):
    """One director's addresses, deployment and limits. Times in ms.

    Products, kinds of nodes and zones are numbered: each dict maps names to numbers.
    """

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int  # descriptors that the process may hold
    changelog: tuple[str, int] | None
    known_events: list[changes.Event]
    last_event: int  # number of the last known event
    deployment: Deployment
    products: dict[str, int]  # by the name that viewers use
    all_products: dict[str, int]  # `products` and those of earlier files
    kinds: dict[str, int]
    zones: dict[str, int]
    longest_limit_ms: float  # longest time limit of a product
    connect_ms: float  # time within which a connection to a node must come up
    idle_ms: float  # nodes close connections that are idle for this long


def parse_address(tree: Any, key: str) -> tuple[str, int]:
    """Returns the host:port of an entry as host, without the brackets of IPv6, and port."""
    host, _, port = str(tree[key]).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigurationError(f"{key}: {tree[key]!r} is not a host:port address")
    return host.strip("[]"), int(port)


def parse_integer(value: Any, key: str, base: int = 10) -> int:
    """Returns a JSON number or a text as an integer; a JSON number may have a decimal point."""
    try:
        return int(value) if isinstance(value, float) else int(str(value), base)
    except (ValueError, OverflowError):
        raise ConfigurationError(f"{key}: {value!r} is not an integer") from None


def number_names(entry: Any, key: str) -> dict[str, int]:
    """Returns the names of a list with their positions.

    The names are those of the file, with spaces and accents. The flattened settings cannot give
    them: they replace spaces and commas.
    """
    names = (
        [str(name) for name in entry] if isinstance(entry, list) else str(entry or "").split(",")
    )
    if len(set(names)) < len(names):
        raise ConfigurationError(f"settings {key}: a name occurs twice: {names}")
    # A control character would end a line of a message.
    if any(character < " " or character == "\x7f" for character in "".join(names)):
        raise ConfigurationError(f"settings {key}: a name has a control character: {names!a}")
    return {name: index for index, name in enumerate(names)}


def parse(tree: Any) -> Configuration:
    """Returns the configuration of a file's JSON tree.

    It is checked as a whole: any fault raises ConfigurationError, and nothing changes.
    """
    try:
        settings_tree = tree["settings"]
        values = settings.flatten(settings_tree)
        deployment, reader = settings.decode(values), settings.SettingsReader(values)
        known_events, products = (
            changes.parse_initial_events(tree["known"]),
            number_names([grade["Name"] for grade in settings_tree["Grades"]], "Grades"),
        )
        grades = range(len(deployment.products))
        return Configuration(
            str(tree["name"]),
            parse_address(tree, "listen"),
            parse_integer(tree.get("seed") or "0", "seed", 16),
            parse_integer(tree.get("limits", {}).get("sockets", 1024), "limits.sockets"),
            parse_address(tree, "changelog") if tree.get("changelog") else None,
            known_events,
            tree["known"]["seq"],
            deployment,
            products,
            products,
            number_names(settings_tree.get("Kinds"), "Kinds"),
            number_names(settings_tree.get("Zones"), "Zones"),
            max(reader.ms(f"Grades.{i}.GiveUp") for i in grades),
            reader.ms("Permissions.ConnectTimeout", 250.0),
            reader.ms("Permissions.ConnIdle", math.inf) or math.inf,
        )
    except changes.MalformedError as error:
        raise ConfigurationError(f"known: {error}") from None
    except settings.SettingError as error:
        raise ConfigurationError(str(error)) from None
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise ConfigurationError(f"configuration: {error!r}") from None


def extend_numbers(before: dict[str, int], new: dict[str, int]) -> dict[str, int]:
    """Returns all names: those of `before` keep their numbers, new ones are numbered after them."""
    return before | {
        name: len(before) + index
        for index, name in enumerate(name for name in new if name not in before)
    }


def keep_numbers(current: Configuration, updated: Configuration) -> Configuration:
    """Returns a file that was read again, with the numbers of the configuration in force.

    What is held, counted and listed under a number keeps its meaning, whatever the order in which
    the new file has its products, kinds and zones. Raises ConfigurationError for what cannot change
    while the director runs.
    """
    if updated.listen != current.listen:
        raise ConfigurationError(
            f"listens at {current.listen}; listening at {updated.listen} needs a restart"
        )
    products, kinds, zones = (
        extend_numbers(old, new)
        for old, new in (
            (current.all_products, updated.products),
            (current.kinds, updated.kinds),
            (current.zones, updated.zones),
        )
    )
    old_deployment, new_deployment = current.deployment, updated.deployment
    # A product that the new file leaves out has no importance for decisions, and no set-up for it
    # is accepted.
    rows = [
        new_deployment.products[updated.products[name]]
        if name in updated.products
        else old_deployment.products[number]._replace(importance=0.0)
        for name, number in products.items()
    ]
    streams = [
        streams_of(new_deployment, updated.kinds[name])
        if name in updated.kinds
        else streams_of(old_deployment, number)
        for name, number in kinds.items()
    ]
    zone = next(
        (name for name, number in updated.zones.items() if number == new_deployment.zone), None
    )
    return updated._replace(
        deployment=new_deployment._replace(
            products=tuple(rows), streams=tuple(streams), zone=zones.get(zone, new_deployment.zone)
        ),
        products={name: products[name] for name in updated.products},
        all_products=products,
        kinds=kinds,
        zones=zones,
    )


def streams_of(deployment: Deployment, kind: int) -> float:
    """Returns the streams of a kind of node; kinds past the last entry have the last one's."""
    return deployment.streams[min(kind, len(deployment.streams) - 1)]


def read_file(path: str) -> Configuration:
    """Returns the configuration of a file.

    Raises ConfigurationError with one line that names the file and what is wrong with it.
    """
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
