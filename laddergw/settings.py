"""Decodes start settings, given as path=value lines or as nested JSON, into a Deployment.

It only decodes: what follows from the settings is decided elsewhere.
"""

import math

from laddergw.interface import Deployment, Product


class SettingError(Exception):
    """A required setting is missing, or a setting is invalid; the text names its key."""


# Product.repeat for each value of a grade's Repeat.
RETRY_SAFETY = {"pure": "safe", "token": "keyed", "side_effect": "paid"}
# Values of Reporting.How.
LOAD_SOURCES = ("answers", "probe", "none")
# Default of a setting that has none.
REQUIRED = object()


def parse(text):
    """Returns path=value lines as a dict; lines without '=' are skipped."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten(tree):
    """Returns nested JSON under the same dotted keys as `parse`.

    A list of scalars becomes one text joined by commas. The items of any other list get their index
    as a part of the key, and the list's length is stored under `.count`.
    """
    flat = {}

    def walk(path, value):
        if isinstance(value, dict):
            for key, item in value.items():
                walk(f"{path}.{key}" if path else key, item)
        elif isinstance(value, list) and any(isinstance(item, (dict, list)) for item in value):
            flat[f"{path}.count"] = str(len(value))
            for index, item in enumerate(value):
                walk(f"{path}.{index}", item)
        else:
            flat[path] = (
                ",".join(map(format_scalar, value))
                if isinstance(value, list)
                else format_scalar(value)
            )

    walk("", tree)
    return flat


def format_scalar(value):
    """Returns a scalar as text, its spaces and commas replaced by underscores."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


class SettingsReader:
    """Reads typed values from flattened settings.

    Each method raises SettingError, with the key, for a value that is missing or invalid.
    """

    def __init__(self, values):
        self.values = values

    def text(self, key, default=REQUIRED):
        """Returns a value without surrounding spaces; an empty one counts as missing."""
        value = self.values.get(key, "").strip()
        if value:
            return value
        if default is REQUIRED:
            raise SettingError(f"setting {key} is missing")
        return default

    def convert(self, key, text, low, high=math.inf):
        """Returns `text` as a finite number within [low, high]."""
        try:
            number = float(text)
        except ValueError:
            raise SettingError(f"setting {key}: {text!r} is not a number") from None
        if not math.isfinite(number) or not low <= number <= high:
            raise SettingError(f"setting {key}: {text} is out of range")
        return number

    def number(self, key, default=REQUIRED, low=0.0, high=math.inf):
        """Returns a finite number within [low, high]; the default is returned unchecked."""
        text = self.text(key, None if default is not REQUIRED else REQUIRED)
        return default if text is None else self.convert(key, text, low, high)

    def ms(self, key, default=REQUIRED):
        """Returns a time in ms; settings give times in microseconds, the default is in ms."""
        value = self.number(key, default)
        return value if value is default else value / 1000

    def flag(self, key, default):
        """Returns a boolean; `default` is "true" or "false"."""
        text = self.text(key, default)
        if text not in ("true", "false"):
            raise SettingError(f"setting {key}: {text!r} is neither true nor false")
        return text == "true"

    def flags(self, key, size, default):
        """Returns a list of `size` booleans; without the setting all of them are `default`."""
        words = self.text(key, ",".join(["true" if default else "false"] * size)).split(",")
        if len(words) != size or set(words) - {"true", "false"}:
            raise SettingError(
                f"setting {key}: {','.join(words)!r} is not a list of {size} times true or false"
            )
        return [word == "true" for word in words]

    def choice(self, key, choices, default):
        """Returns one of the words `choices`."""
        if (text := self.text(key, default)) not in choices:
            raise SettingError(f"setting {key}: {text!r} is not one of {', '.join(choices)}")
        return text

    def numbers(self, key, size=None, default=REQUIRED, low=0.0):
        """Returns a tuple of numbers not below `low`, `size` of them where that is given."""
        text = self.text(key, default)
        numbers = tuple(self.convert(key, item, low) for item in text.split(",") if item)
        if size is not None and len(numbers) != size:
            raise SettingError(f"setting {key}: {len(numbers)} values where {size} are needed")
        return numbers


def read_product(reader, index, lowest_rung, highest_rung, rate_scale, seats, live):
    """Returns the product of one entry of Grades, with its columns of Specifics."""
    key = f"Grades.{index}."
    repeat_word = reader.text(key + "Repeat")
    if repeat_word not in RETRY_SAFETY:
        raise SettingError(f"setting {key}Repeat: {repeat_word!r} is not a known class of repeats")
    return Product(
        reader.number(key + "Points"),
        RETRY_SAFETY[repeat_word],
        reader.text(key + "Group", "all"),
        reader.ms(key + "KeyTtl", 0.0),
        int(lowest_rung),
        int(highest_rung),
        rate_scale,
        int(seats),
        live,
    )


def decode(values):
    """Returns the Deployment that flattened settings describe; raises SettingError."""
    reader = SettingsReader(values)
    product_count = int(reader.number("Grades.count", low=1))
    ladder = reader.numbers("Specifics.LadderKb", low=1e-9)
    if not ladder:
        raise SettingError("setting Specifics.LadderKb: has no rung")
    # Defaults of the columns of products.
    zeros, ones = ",".join(["0"] * product_count), ",".join(["1"] * product_count)
    top_rungs = ",".join([str(len(ladder) - 1)] * product_count)
    columns = zip(
        reader.numbers("Specifics.LowestRung", product_count, zeros),
        reader.numbers("Specifics.HighestRung", product_count, top_rungs),
        reader.numbers("Specifics.ScaleByClass", product_count, ones, 1e-9),
        reader.numbers("Specifics.ClassSeats", product_count, zeros),
        reader.flags("Specifics.Live", product_count, False),
        strict=True,
    )
    return Deployment(
        products=tuple(read_product(reader, i, *row) for i, row in enumerate(columns)),
        ladder=ladder,
        rung_worth=reader.numbers("Specifics.WorthByRung", len(ladder)),
        cells=int(reader.number("Specifics.Positions", low=1)),
        racks=int(reader.number("Specifics.Groups", 1, low=1)),
        link_unit=reader.number("Specifics.LinkUnitKb", low=1e-9),
        rack_kb=reader.number("Specifics.RackKb", low=1e-9),
        streams=reader.numbers("Specifics.KindSlots", low=1),
        step_cost_ms=reader.number("Specifics.ChangeCostsS", 0.0) * 1000,
        seen_after_ms=reader.ms("Specifics.SeenAfter", 0.0),
        directors=int(reader.number("Siblings", low=1)),
        max_allocations=int(reader.number("Permissions.MaxAttempts", low=1)),
        retry_max_ms=reader.ms("Permissions.MaxRetryAfter", 0.0)
        if reader.flag("Permissions.RetryAfter", "true")
        else 0.0,
        cold_from=reader.number("Rules.ColdFrom", 1.0),
        warm_ms=reader.ms("Rules.WarmWithin", 0.0),
        fall_multiple=reader.number("Rules.FallMultiple", 1.0),
        fall_ms=reader.ms("Rules.Fall", 0.0),
        budget_free=reader.number("Rules.FreeResends", None),
        budget_share=reader.number("Rules.ExtraRatio", 0.0),
        budget_ms=reader.ms("Rules.CountedOver", 0.0),
        must_ask=reader.text("Discovery", "pushed") == "on_request",
        reports=tuple(reader.text("Reporting.Names", "").split(",")),
        probes=reader.flag("Permissions.Probes", "false"),
        told_by=reader.choice("Reporting.How", LOAD_SOURCES, "answers"),
        probe_price=reader.number("Prices.Probe", 0.0),
        cross_price=reader.number("Prices.CrossZone", 0.0),
        zone=int(reader.number("MyZone", 0)),
        number=int(reader.number("Ordinal", 0)),
        peers=reader.flag("Permissions.Peers", "false"),
        peer_price=reader.number("Prices.Peer", 0.0),
        connect_ms=reader.ms("Permissions.ConnectTimeout", 250.0),
        join=reader.number("Specifics.Join", 1.0, high=1.0),
    )
