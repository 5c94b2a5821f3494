"""Checks a limits file in a process of its own, so that the director's loop does not stop during the search for counterexamples.

Run as `python -m laddergw.terms.checking DIRECTOR_FILE NAME` with the limits file's bytes on standard input; writes the pickled LoadResult to standard output.
"""
import pickle
import sys

from laddergw.terms import director_file as director_files
from laddergw.terms.loading import load


def main() -> None:
    """Checks the file on standard input against the director's file of the first argument; the second is its name in reports."""
    settings = director_files.read_file(sys.argv[1])
    sys.stdout.buffer.write(pickle.dumps(load(sys.stdin.buffer.read(), sys.argv[2], settings)))


if __name__ == "__main__":
    main()
