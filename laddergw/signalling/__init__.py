"""Codecs of the platform's protocol, sans-I/O: bytes in, messages out, and back.

Bounded; nothing of ours is imported.
"""
