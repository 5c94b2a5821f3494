"""Dense trials of the platform's director: real processes, faults drawn and combined, every rule
judged from what passed on the sockets.
"""
