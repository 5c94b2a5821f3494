"""The terms by which a trial is judged, read from a director's settings. No I/O."""

from typing import Any, NamedTuple

from laddergw import settings
from laddergw.lab.soak.messages import SETTINGS, configuration

# At a stop a longer time limit counts as this, by the protocol page.
MAX_COUNTED_LIMIT_MS = 3_000.0
# SIGKILL comes no sooner than the longest time limit and this after SIGTERM.
KILL_AFTER_MS = 700.0
CELLS = 6
# Shares of the requests of the first products; the last product has the rest.
PRODUCT_SHARES = (0.6, 0.4)
# Terms and the settings, in microseconds, that they are read from.
TIME_SETTINGS = {"warm_ms": "WarmWithin", "fall_ms": "Fall", "grace_ms": "StopSendingWithin"}
# How long the keys of a keyed product hold: longer than any time limit.
KEY_TTL_US = 10_000_000
# Share of a product's time limit for which its viewers wait.
WAIT_SHARE = 0.5


class Product(NamedTuple):
    """A product as viewers request it. Its time limit is in ms."""

    name: str
    share: float
    limit_ms: float
    # A set-up that may have run must not be sent again.
    runs_once: bool
    # The nodes to which one that may have run may be sent again, "all" or "cell" (of the same
    # cell); empty: it is not keyed.
    keyed_group: str = ""

    @property
    def wait_ms(self) -> float:
        """How long its viewers wait for an answer."""
        return WAIT_SHARE * self.limit_ms


class Budget(NamedTuple):
    """Retries that a director may send in any window: `free`, and a share of its requests."""

    free: float
    share: float
    window_ms: float


class Terms(NamedTuple):
    """The values of a deployment that the rules need. Times are in ms."""

    products: tuple[Product, ...]
    streams: float = 30.0
    warm_ms: float = 6_000.0
    cold_from: float = 0.4
    multiple: float = 2.5
    fall_ms: float = 1_000.0
    grace_ms: float = 250.0
    sockets: int = 256
    memory_mb: float = 192.0
    # None where retries are not limited.
    budget: Budget | None = Budget(1.0, 0.02, 10_000.0)

    @property
    def single_run_products(self) -> set[str]:
        """Names of the products that run once."""
        return {product.name for product in self.products if product.runs_once}

    @property
    def undeclinable_products(self) -> set[str]:
        """Names of the products that must not be declined once they may have run."""
        return self.single_run_products | self.products_by_cell

    @property
    def products_by_cell(self) -> set[str]:
        """Names of the products that are keyed by cell."""
        return {product.name for product in self.products if product.keyed_group == "cell"}

    @property
    def longest_limit_ms(self) -> float:
        """The longest time limit of any product."""
        return max(product.limit_ms for product in self.products)

    @property
    def kill_ms(self) -> float:
        """The time from SIGTERM to the earliest SIGKILL."""
        return min(self.longest_limit_ms, MAX_COUNTED_LIMIT_MS) + KILL_AFTER_MS


def read_products(tree: dict[str, Any]) -> tuple[Product, ...]:
    """Reads the products of nested settings, and gives them their shares of the requests."""
    reader = settings.SettingsReader(settings.flatten(tree))
    grades = tree["Grades"]
    shares = [*PRODUCT_SHARES[: len(grades) - 1]]
    shares += [max(0.0, 1 - sum(shares)) / (len(grades) - len(shares))] * (
        len(grades) - len(shares)
    )
    return tuple(
        Product(
            grade["Name"], share, reader.ms(f"Grades.{at}.GiveUp"), grade["Repeat"] == "side_effect"
        )
        for at, (grade, share) in enumerate(zip(grades, shares, strict=True))
    )


def read_budget(rules: dict[str, Any]) -> Budget | None:
    """Reads the retry budget of the settings' rules."""
    if "FreeResends" not in rules:
        return None
    return Budget(rules["FreeResends"], rules.get("ExtraRatio", 0.0), rules["CountedOver"] / 1000)


def read_terms(tree: dict[str, Any], sockets: int) -> Terms:
    """Reads the terms of nested settings; `sockets` is the number that a director may hold."""
    rules, terms = tree.get("Rules", {}), Terms(read_products(tree), sockets=sockets)
    values = {field: rules[key] / 1000 for field, key in TIME_SETTINGS.items() if key in rules}
    values |= {
        field: rules[key]
        for field, key in (("cold_from", "ColdFrom"), ("multiple", "FallMultiple"))
        if key in rules
    }
    if rules:
        values["streams"] = float(min(tree["Specifics"]["KindSlots"]))
        values["budget"] = read_budget(rules)
    return terms._replace(**values)


def settings_for(
    terms: Terms, directors: int, number: int, base: dict[str, Any] = SETTINGS
) -> dict[str, Any]:
    """Returns the settings of director `number` of `directors`.

    They are `base` with the terms' rules and room for the trial's fleet.
    """
    specifics = base["Specifics"] | {
        "Positions": CELLS,
        "Groups": 2,
        "KindSlots": [int(terms.streams)],
        "RackKb": 60_000.0,
    }
    rules = base.get("Rules", {}) | {
        "ColdFrom": terms.cold_from,
        "WarmWithin": int(terms.warm_ms * 1000),
        "FallMultiple": terms.multiple,
        "Fall": int(terms.fall_ms * 1000),
        "StopSendingWithin": int(terms.grace_ms * 1000),
    }
    if terms.budget is not None:
        rules |= {
            "FreeResends": terms.budget.free,
            "ExtraRatio": terms.budget.share,
            "CountedOver": int(terms.budget.window_ms * 1000),
        }
    limits = {product.name: int(product.limit_ms * 1000) for product in terms.products}
    grades = [grade | {"GiveUp": limits[grade["Name"]]} for grade in base["Grades"]]
    for grade, product in zip(grades, terms.products, strict=True):
        if product.keyed_group:
            grade |= {"Repeat": "token", "Group": product.keyed_group, "KeyTtl": KEY_TTL_US}
    return base | {
        "Siblings": directors,
        "Ordinal": number,
        "Zones": ["east"],
        "MyZone": 0,
        "Kinds": ["std"],
        "Rules": rules,
        "Grades": grades,
        "Specifics": specifics,
    }


DEFAULT_TERMS = read_terms(configuration()["settings"], 256)
