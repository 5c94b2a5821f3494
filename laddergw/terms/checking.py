"""A check as a process of its own, so that a director does not stand still while a file is searched: `python -m laddergw.terms.checking HOUSE NAME`, the
file's bytes on standard input, what came of them, pickled, on standard output."""
import pickle
import sys

from laddergw.terms import director_file as director_files
from laddergw.terms.loading import load


def main() -> None:
    house = director_files.read_file(sys.argv[1])
    sys.stdout.buffer.write(pickle.dumps(load(sys.stdin.buffer.read(), sys.argv[2], house)))


if __name__ == "__main__":
    main()
