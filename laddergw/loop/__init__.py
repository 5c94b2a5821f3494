"""One event loop per process: streams, timers, signals, child processes.

Its clock and its network can be passed in.
"""
