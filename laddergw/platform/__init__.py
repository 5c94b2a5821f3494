"""The director that speaks the platform's protocol: sockets, configuration, signals.

The controller makes all decisions; none is made here.
"""
