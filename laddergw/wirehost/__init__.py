"""Hosts controllers on the simulator's wire: layouts in codec.py, start values in laddergw/settings.py, the loop in __main__.py."""
