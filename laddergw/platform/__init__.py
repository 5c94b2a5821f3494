"""The director that implements the platform's protocol: sockets, configuration, signals.

The controller makes all decisions; none is made here.
"""
