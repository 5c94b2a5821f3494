"""Hosts controllers on the bench's wire: frames in codec.py, start values in laddergw/settings.py, the loop in __main__.py."""
