"""Parses S-expressions into nested forms that know their positions, with a grammar for lark.

A form is a list whose first item is its name: (first-frame-target 1500). Words, numbers and "strings" are atoms.
A comment runs from ; to the end of its line.
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
MAX_CHARACTERS = 4_194_304     # in one text: a file with ten thousand routes takes less than two million
MAX_DEPTH = 64                 # levels of nesting: our own files need five
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}


class Place(NamedTuple):
    """Position in a file; lines and columns count from 1."""
    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Fault(NamedTuple):
    """One error in a file: its position, the key it belongs to, and the reason."""
    place: Place
    key: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.key}: {self.reason}" if self.key else f"{self.place}: {self.reason}"


class FileRejected(Exception):
    """Raised for a file with errors; `faults` lists all of them in the order of the file."""

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


class Atom(NamedTuple):
    """A word, number or string with its position. `value` is str or float; `quoted` is True for strings."""
    value: Union[str, float]
    place: Place
    quoted: bool = False


class Form(NamedTuple):
    """A list with the position of its opening parenthesis."""
    items: tuple
    place: Place

    @property
    def name(self) -> str:
        """The first item where it is an unquoted word, else empty."""
        first = self.items[0] if self.items else None
        return first.value if isinstance(first, Atom) and isinstance(first.value, str) and not first.quoted else ""

    @property
    def rest(self) -> tuple:
        """The items after the name."""
        return self.items[1:]


class FormBuilder(lark.Transformer):
    """Turns lark's parse tree into atoms and forms. The names of its methods are the grammar's rules."""

    def __init__(self, file: str):
        super().__init__()
        self.file = file

    def place_of(self, node) -> Place:
        """Returns the position of a token or of a rule's metadata."""
        return Place(self.file, node.line, node.column)

    def atom(self, children):
        """Returns the Atom of a token: a string, a finite number or a word."""
        token = children[0]
        if token.type == "STRING":
            return Atom(unescape(token[1:-1]), self.place_of(token), True)
        try:
            number = float(token)
        except ValueError:
            return Atom(str(token), self.place_of(token))
        return Atom(number if math.isfinite(number) else str(token), self.place_of(token))

    @lark.v_args(meta=True)
    def list(self, meta, children):
        """Returns the Form of a parenthesized list."""
        return Form(tuple(children), self.place_of(meta))

    def start(self, children):
        """Returns the forms of the whole text."""
        return tuple(children)


def unescape(text: str) -> str:
    """Replaces the escape sequences of a string; an unknown one is replaced by its second character."""
    result, characters = [], iter(text)
    for char in characters:
        result.append(ESCAPES.get(escaped := next(characters), escaped) if char == "\\" else char)
    return "".join(result)


PARSER = lark.Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text: str, file: str = "text") -> tuple:
    """Returns all forms and atoms of a text. Raises FileRejected with the position of what cannot be parsed."""
    if len(text) > MAX_CHARACTERS:
        raise FileRejected([Fault(Place(file, 1, 1), "", f"{len(text)} characters, {MAX_CHARACTERS} at most")])
    if "\0" in text:
        line = text.count("\n", 0, text.index("\0")) + 1
        raise FileRejected([Fault(Place(file, line, 1), "", "holds a NUL character")])
    check_depth(text, file)
    try:
        return FormBuilder(file).transform(PARSER.parse(text))
    except lark.exceptions.UnexpectedInput as error:
        raise FileRejected([syntax_fault(error, text, file)]) from None


def check_depth(text: str, file: str) -> None:
    """Rejects text that is nested too deeply before the parser sees it. Parentheses in strings and comments don't count."""
    depth, line, quoted, escaped, comment = 0, 1, False, False, False
    for char in text:
        if char == "\n":
            line, comment, quoted = line + 1, False, False
        elif escaped:
            escaped = False
        elif quoted:
            escaped, quoted = char == "\\", char != '"'
        elif comment:
            continue
        elif char == ";":
            comment = True
        elif char == '"':
            quoted = True
        elif char == "(":
            depth += 1
            if depth > MAX_DEPTH:
                raise FileRejected([Fault(Place(file, line, 1), "", f"nested deeper than {MAX_DEPTH}")])
        elif char == ")":
            depth -= 1


def syntax_fault(error, text: str, file: str) -> Fault:
    """The fault that describes an error of lark's parser."""
    if isinstance(error, lark.exceptions.UnexpectedToken) and error.token.type == "$END":
        last_line = text.count("\n") + 1
        return Fault(Place(file, last_line, 1), "", "a parenthesis is not closed before the file ends")
    line, column = max(error.line, 1), max(error.column, 1)
    if isinstance(error, lark.exceptions.UnexpectedToken):
        return Fault(Place(file, line, column), "", "an unmatched closing parenthesis")
    return Fault(Place(file, line, column), "", "a string is not closed on its line")
