"""Versions that the fleet's processes act on, who acted under which, and the records of it. No module here does input or output; callers pass the time in."""
