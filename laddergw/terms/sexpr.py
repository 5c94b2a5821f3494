"""S-expressions with positions: text to nested forms, by a grammar for lark.

A form is a list whose first item is its name: (first-frame-target 1500). Words, numbers and "strings" are atoms;
a comment runs from ; to the end of its line.
"""
import math
from typing import NamedTuple, Union

import lark

GRAMMAR = r"""
start: item*
?item: list | atom
list: "(" item* ")"
atom: STRING | WORD
STRING: /"(\\.|[^"\\\n])*"/
WORD: /[^\s()";]+/
COMMENT: /;[^\n]*/
%ignore /\s+/
%ignore COMMENT
"""
MOST_BYTES = 4_194_304     # a file: ten thousand routes take under two
MOST_DEPTH = 64            # nesting: files of ours need five
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}


class Place(NamedTuple):
    """Where something stands in a file; lines and columns count from 1."""
    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Fault(NamedTuple):
    """One thing that is wrong in a file: where, at which key, and why."""
    place: Place
    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.key}: {self.reason}" if self.key else f"{self.place}: {self.reason}"


class FileRejected(Exception):
    """A file that is not taken; `faults` holds everything found wrong, in the file's order."""

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


class Atom(NamedTuple):
    """A word, a number or a string, with its place. `value` is str or float; `quoted` for strings."""
    value: Union[str, float]
    place: Place
    quoted: bool = False


class Form(NamedTuple):
    """A list and where it opens."""
    items: tuple
    place: Place

    @property
    def name(self) -> str:
        first = self.items[0] if self.items else None
        return first.value if isinstance(first, Atom) and isinstance(first.value, str) and not first.quoted else ""

    @property
    def rest(self) -> tuple:
        return self.items[1:]


class Build(lark.Transformer):
    """Turns the parse into atoms and forms."""

    def __init__(self, file: str):
        super().__init__()
        self.file = file

    def at(self, thing) -> Place:
        return Place(self.file, thing.line, thing.column)

    def atom(self, children):
        token = children[0]
        if token.type == "STRING":
            return Atom(unescape(token[1:-1]), self.at(token), True)
        try:
            number = float(token)
        except ValueError:
            return Atom(str(token), self.at(token))
        return Atom(number if math.isfinite(number) else str(token), self.at(token))

    @lark.v_args(meta=True)
    def list(self, meta, children):
        return Form(tuple(children), self.at(meta))

    def start(self, children):
        return tuple(children)


def unescape(text: str) -> str:
    out, rest = [], iter(text)
    for char in rest:
        out.append(ESCAPES.get(after := next(rest), after) if char == "\\" else char)
    return "".join(out)


PARSER = lark.Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text: str, file: str = "text") -> tuple:
    """All forms and atoms of a text. Raises FileRejected with the place of what cannot be read."""
    if len(text) > MOST_BYTES:
        raise FileRejected([Fault(Place(file, 1, 1), "", f"{len(text)} characters, {MOST_BYTES} at most")])
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        raise FileRejected([Fault(Place(file, line, 1), "", "holds a NUL character")])
    depth_check(text, file)
    try:
        return Build(file).transform(PARSER.parse(text))
    except lark.exceptions.UnexpectedInput as error:
        raise FileRejected([unexpected(error, text, file)]) from None


def depth_check(text: str, file: str) -> None:
    """Too deep a nesting is told before the parser meets it. Parentheses in strings are passed over."""
    depth, line, quoted, skip, comment = 0, 1, False, False, False
    for char in text:
        if char == "\n":
            line, comment, quoted = line + 1, False, False
        elif skip:
            skip = False
        elif quoted:
            skip, quoted = char == "\\", char != '"'
        elif comment:
            continue
        elif char == ";":
            comment = True
        elif char == '"':
            quoted = True
        elif char == "(":
            depth += 1
            if depth > MOST_DEPTH:
                raise FileRejected([Fault(Place(file, line, 1), "", f"nested deeper than {MOST_DEPTH}")])
        elif char == ")":
            depth -= 1


def unexpected(error, text: str, file: str) -> Fault:
    if isinstance(error, lark.exceptions.UnexpectedToken) and error.token.type == "$END":
        last = text.count("\n") + 1
        return Fault(Place(file, last, 1), "", "a parenthesis is not closed before the file ends")
    line, column = max(error.line, 1), max(error.column, 1)
    if isinstance(error, lark.exceptions.UnexpectedToken):
        return Fault(Place(file, line, column), "", "a closing parenthesis too many")
    return Fault(Place(file, line, column), "", "a string is not closed on its line")
