"""Reads forms with checks: each key once, its value of the right type and range, no unknown keys. All faults are reported together."""
import difflib
from typing import Any, Iterable

from laddergw.terms.sexpr import Atom, Fault, Form, Place, FileRejected, parse

REQUIRED = object()        # as a default: the key must be present


def read_text(path: str) -> str:
    """Returns a file's text. Raises FileRejected if it cannot be read."""
    try:
        with open(path, "rb") as stream:
            return stream.read().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise FileRejected([Fault(Place(path, 1, 1), "", f"cannot be read: {error}")]) from None


def parse_single_form(text: str, file: str, name: str) -> Form:
    """Returns the only form of a file, such as (director ...). Raises FileRejected if there is none, a different one, or more."""
    forms = parse(text, file)
    if len(forms) != 1 or not isinstance(forms[0], Form) or forms[0].name != name:
        raise FileRejected([Fault(Place(file, 1, 1), "", f"holds one form, ({name} ...), and nothing else")])
    return forms[0]


class Faults:
    """Collects the faults of a file, so that they are raised together at the end."""

    def __init__(self):
        self.found: list[Fault] = []

    def add(self, place: Place, key: str, reason: str) -> None:
        """Adds a fault."""
        self.found.append(Fault(place, key, reason))

    def raise_if_any(self) -> None:
        """Raises FileRejected with all faults, in the order of the file, if there are any."""
        if self.found:
            raise FileRejected(sorted(self.found, key=lambda fault: fault.place[1:]))


class FormReader:
    """Reads the keys of one form.

    Each method returns a key's value, or its default if the key is absent. A faulty value is recorded as a fault and
    the default (or None) is returned, so that reading goes on. `places` holds the position of each value that was read,
    `path` the keys above this form, and `name` the form's own name where forms of its kind have one.
    """

    def __init__(self, form: Form, faults: Faults, path: str = ""):
        self.form, self.faults, self.path = form, faults, path
        self.forms: dict[str, list[Form]] = {}
        self.places: dict[str, Place] = {}
        self.known_keys: set[str] = set()
        for item in form.rest:
            if isinstance(item, Form) and item.name:
                self.forms.setdefault(item.name, []).append(item)
            elif isinstance(item, Form):
                faults.add(item.place, path, "a form without a name")

    def label(self, key: str) -> str:
        """A key with the keys above it, as fault reports show it."""
        return f"{self.path} {key}".strip()

    def add_fault(self, place: Place, key: str, reason: str) -> None:
        """Records a fault at a key of this form."""
        self.faults.add(place, self.label(key), reason)

    def single_form(self, key: str, default: Any) -> Form | None:
        """The form of a key that may be given once; None if it is absent."""
        self.known_keys.add(key)
        forms = self.forms.get(key, [])
        for extra in forms[1:]:
            self.add_fault(extra.place, key, f"is given twice, first at line {forms[0].place.line}")
        if not forms:
            if default is REQUIRED:
                self.add_fault(self.form.place, key, "is missing")
            return None
        self.places[key] = forms[0].place
        return forms[0]

    def atoms(self, key: str, default: Any, min_count: int, max_count: int | None) -> tuple[Atom, ...] | None:
        """The values of a key, from `min_count` to `max_count` of them (None: no upper bound); None if it is absent or faulty."""
        form = self.single_form(key, default)
        if form is None:
            return None
        if not all(isinstance(item, Atom) for item in form.rest):
            self.add_fault(form.place, key, "takes plain values, no forms")
            return None
        count = len(form.rest)
        if count < min_count or max_count is not None and count > max_count:
            expected = str(min_count) if min_count == max_count else f"{min_count} or more" if max_count is None else f"{min_count} to {max_count}"
            self.add_fault(form.place, key, f"takes {expected} value{'s' * (expected != '1')}, not {count}")
            return None
        return form.rest

    def parse_number(self, key: str, atom: Atom, low: float, high: float, whole: bool) -> float | None:
        """The number in an atom, from `low` to `high`; None if it is faulty."""
        if atom.quoted or not isinstance(atom.value, float):
            self.add_fault(atom.place, key, f"{atom.value!r} is not a number")
        elif whole and atom.value != int(atom.value):
            self.add_fault(atom.place, key, f"{atom.value:g} is not a whole number")
        elif not low <= atom.value <= high:
            self.add_fault(atom.place, key, f"{atom.value:g} is out of range: {low:g} to {high:g}")
        else:
            return int(atom.value) if whole else atom.value
        return None

    def number(self, key: str, default: Any = REQUIRED, low: float = 0.0, high: float = 1e12, whole: bool = False) -> Any:
        """The one number of a key."""
        atoms = self.atoms(key, default, 1, 1)
        value = self.parse_number(key, atoms[0], low, high, whole) if atoms else None
        return value if value is not None else None if default is REQUIRED else default

    def integer(self, key: str, default: Any = REQUIRED, low: float = 0, high: float = 1e12) -> Any:
        """The one whole number of a key."""
        return self.number(key, default, low, high, True)

    def numbers(self, key: str, default: Any = REQUIRED, low: float = 0.0, high: float = 1e12, size: int | None = None) -> Any:
        """The numbers of a key: `size` of them, or one and more if it is None."""
        atoms = self.atoms(key, default, size or 1, size)
        values = tuple(self.parse_number(key, atom, low, high, False) for atom in atoms or ())
        if not values or None in values:
            return None if default is REQUIRED else default
        return values

    def word(self, key: str, default: Any = REQUIRED, allowed: Iterable[str] = ()) -> Any:
        """The one word of a key; one of `allowed` if there are any."""
        atoms = self.atoms(key, default, 1, 1)
        if not atoms:
            return None if default is REQUIRED else default
        value, choices = atoms[0].value, tuple(allowed)
        if not isinstance(value, str) or choices and value not in choices:
            reason = f"is not one of {', '.join(choices)}" if choices else "is not a word"
            self.add_fault(atoms[0].place, key, f"{value if isinstance(value, str) else f'{value:g}'} {reason}")
            return None if default is REQUIRED else default
        return value

    def words(self, key: str, default: Any = REQUIRED) -> Any:
        """All values of a key, as text."""
        atoms = self.atoms(key, default, 0, None)
        if atoms is None:
            return None if default is REQUIRED else default
        return tuple(str(atom.value) for atom in atoms)

    def address(self, key: str, default: Any = REQUIRED) -> Any:
        """The host and port of a key."""
        atoms = self.atoms(key, default, 2, 2)
        if not atoms:
            return None if default is REQUIRED else default
        port = self.parse_number(key, atoms[1], 0, 65_535, True)
        if not isinstance(atoms[0].value, str):
            self.add_fault(atoms[0].place, key, "the host is not a word")
            return None
        return None if port is None else (atoms[0].value, port)

    def subform(self, key: str, default: Any = REQUIRED) -> "FormReader | None":
        """A reader of a key's own keys; None if the key is absent."""
        form = self.single_form(key, default)
        return FormReader(form, self.faults, self.label(key)) if form is not None else None

    def subforms(self, key: str, unique: bool = True) -> list["FormReader"]:
        """Readers of all forms of a key that may be repeated, such as (product "hearing" ...); `unique`: each name once at most."""
        self.known_keys.add(key)
        readers, first_lines = [], {}
        for form in self.forms.get(key, []):
            if not form.rest or not isinstance(form.rest[0], Atom):
                self.add_fault(form.place, key, "has no name after it")
                continue
            name = str(form.rest[0].value)
            if unique and name in first_lines:
                self.add_fault(form.place, f"{key} {name}", f"is given twice, first at line {first_lines[name]}")
                continue
            first_lines[name] = form.place.line
            reader = FormReader(Form(form.items[:1] + form.items[2:], form.place), self.faults, self.label(f"{key} {name}"))
            reader.name = name
            readers.append(reader)
        return readers

    name = ""

    def reject_unknown_keys(self) -> None:
        """Records a fault for each key that was not read, with the most similar known key, and for each value without a key."""
        for key, forms in self.forms.items():
            if key not in self.known_keys:
                similar = difflib.get_close_matches(key, self.known_keys, 1)
                self.add_fault(forms[0].place, key, "is not known here" + (f"; {similar[0]}?" if similar else ""))
        for item in self.form.rest:
            if isinstance(item, Atom):
                self.faults.add(item.place, self.path, f"a stray value {item.value!r}")
