"""Decodes start settings, told as path=value lines or as nested JSON, into a Deployment.

Decodes only.
"""

import math

from laddergw.interface import Deployment, Product


class SettingError(Exception):
    """A setting that is needed and missing or makes no sense; the text names its key."""


RETRY_SAFETY = {"pure": "safe", "token": "keyed", "side_effect": "paid"}
LOAD_SOURCES = ("answers", "probe", "none")
REQUIRED = object()


def parse(text):
    """path=value lines as a dict; lines without '=' are skipped."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten(tree):
    """Nested JSON as the same dotted keys: plain lists joined by commas, lists of objects counted
    and numbered.
    """
    found = {}

    def walk(path, value):
        if isinstance(value, dict):
            for key, part in value.items():
                walk(f"{path}.{key}" if path else key, part)
        elif isinstance(value, list) and any(isinstance(part, (dict, list)) for part in value):
            found[f"{path}.count"] = str(len(value))
            for index, part in enumerate(value):
                walk(f"{path}.{index}", part)
        else:
            found[path] = ",".join(map(plain, value)) if isinstance(value, list) else plain(value)

    walk("", tree)
    return found


def plain(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


class SettingsReader:
    """Reads typed values out of flattened settings; raises SettingError with the key."""

    def __init__(self, values):
        self.values = values

    def text(self, key, default=REQUIRED):
        value = self.values.get(key, "").strip()
        if value:
            return value
        if default is REQUIRED:
            raise SettingError(f"setting {key} is missing")
        return default

    def convert(self, key, text, low, high=math.inf):
        try:
            number = float(text)
        except ValueError:
            raise SettingError(f"setting {key}: {text!r} is not a number") from None
        if not math.isfinite(number) or not low <= number <= high:
            raise SettingError(f"setting {key}: {text} is out of range")
        return number

    def number(self, key, default=REQUIRED, low=0.0, high=math.inf):
        text = self.text(key, None if default is not REQUIRED else REQUIRED)
        return default if text is None else self.convert(key, text, low, high)

    def ms(self, key, default=REQUIRED):
        value = self.number(key, default)
        return value if value is default else value / 1000

    def flag(self, key, default):
        text = self.text(key, default)
        if text not in ("true", "false"):
            raise SettingError(f"setting {key}: {text!r} is neither true nor false")
        return text == "true"

    def flags(self, key, size, default):
        parts = self.text(key, ",".join(["true" if default else "false"] * size)).split(",")
        if len(parts) != size or set(parts) - {"true", "false"}:
            raise SettingError(
                f"setting {key}: {','.join(parts)!r} is not {size} times true or false"
            )
        return [part == "true" for part in parts]

    def choice(self, key, words, default):
        if (text := self.text(key, default)) not in words:
            raise SettingError(f"setting {key}: {text!r} is not one of {', '.join(words)}")
        return text

    def numbers(self, key, size=None, default=REQUIRED, low=0.0):
        text = self.text(key, default)
        numbers = tuple(self.convert(key, part, low) for part in text.split(",") if part)
        if size is not None and len(numbers) != size:
            raise SettingError(f"setting {key}: {len(numbers)} values where {size} are needed")
        return numbers


def product(read, index, floor, top, scale, seats, live):
    key = f"Grades.{index}."
    repeat = read.text(key + "Repeat")
    if repeat not in RETRY_SAFETY:
        raise SettingError(f"setting {key}Repeat: {repeat!r} is not known")
    return Product(
        read.number(key + "Points"),
        RETRY_SAFETY[repeat],
        read.text(key + "Group", "all"),
        read.ms(key + "KeyTtl", 0.0),
        int(floor),
        int(top),
        scale,
        int(seats),
        live,
    )


def decode(values):
    read = SettingsReader(values)
    grades = int(read.number("Grades.count", low=1))
    ladder = read.numbers("Specifics.LadderKb", low=1e-9)
    if not ladder:
        raise SettingError("setting Specifics.LadderKb: no rung")
    zeros, ones = ",".join(["0"] * grades), ",".join(["1"] * grades)
    tops = ",".join([str(len(ladder) - 1)] * grades)
    columns = zip(
        read.numbers("Specifics.LowestRung", grades, zeros),
        read.numbers("Specifics.HighestRung", grades, tops),
        read.numbers("Specifics.ScaleByClass", grades, ones, 1e-9),
        read.numbers("Specifics.ClassSeats", grades, zeros),
        read.flags("Specifics.Live", grades, False),
        strict=True,
    )
    return Deployment(
        products=tuple(product(read, i, *row) for i, row in enumerate(columns)),
        ladder=ladder,
        rung_worth=read.numbers("Specifics.WorthByRung", len(ladder)),
        cells=int(read.number("Specifics.Positions", low=1)),
        racks=int(read.number("Specifics.Groups", 1, low=1)),
        link_unit=read.number("Specifics.LinkUnitKb", low=1e-9),
        rack_kb=read.number("Specifics.RackKb", low=1e-9),
        streams=read.numbers("Specifics.KindSlots", low=1),
        step_cost_ms=read.number("Specifics.ChangeCostsS", 0.0) * 1000,
        seen_after_ms=read.ms("Specifics.SeenAfter", 0.0),
        directors=int(read.number("Siblings", low=1)),
        max_allocations=int(read.number("Permissions.MaxAttempts", low=1)),
        retry_max_ms=read.ms("Permissions.MaxRetryAfter", 0.0)
        if read.flag("Permissions.RetryAfter", "true")
        else 0.0,
        cold_from=read.number("Rules.ColdFrom", 1.0),
        warm_ms=read.ms("Rules.WarmWithin", 0.0),
        fall_multiple=read.number("Rules.FallMultiple", 1.0),
        fall_ms=read.ms("Rules.Fall", 0.0),
        budget_free=read.number("Rules.FreeResends", None),
        budget_share=read.number("Rules.ExtraRatio", 0.0),
        budget_ms=read.ms("Rules.CountedOver", 0.0),
        must_ask=read.text("Discovery", "pushed") == "on_request",
        reports=tuple(read.text("Reporting.Names", "").split(",")),
        probes=read.flag("Permissions.Probes", "false"),
        told_by=read.choice("Reporting.How", LOAD_SOURCES, "answers"),
        probe_price=read.number("Prices.Probe", 0.0),
        cross_price=read.number("Prices.CrossZone", 0.0),
        zone=int(read.number("MyZone", 0)),
        number=int(read.number("Ordinal", 0)),
        peers=read.flag("Permissions.Peers", "false"),
        peer_price=read.number("Prices.Peer", 0.0),
        connect_ms=read.ms("Permissions.ConnectTimeout", 250.0),
        join=read.number("Specifics.Join", 1.0, high=1.0),
    )
