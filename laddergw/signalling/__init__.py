"""Codecs of the platform's protocols, sans-I/O: bytes in, messages out, and back.

All input is bounded; nothing else of this project is imported.
"""
