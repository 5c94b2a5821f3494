"""One event loop a process: streams, timers, signals, children.

Its clock and network can be handed in.
"""
