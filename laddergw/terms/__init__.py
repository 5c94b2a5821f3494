"""Reads the operators' files: S-expressions with positions become checked values, and all errors of a file are reported at once."""
