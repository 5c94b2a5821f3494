"""The real director on the platform's protocol: sockets, configuration, signals.

The module decides; nothing here does.
"""
