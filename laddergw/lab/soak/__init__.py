"""Soak trials of the platform's director: real processes under random, overlapping faults,
judged by every rule of the protocol from the traffic on their sockets.
"""
