"""Tests of laddergw. Hypothesis draws the same examples in every run, so that a verdict does not change from run to run."""
try:
    from hypothesis import settings
except ImportError:                              # the tests of the decisions need only the standard library
    pass
else:
    settings.register_profile("deterministic", derandomize=True, deadline=None)
    settings.load_profile("deterministic")
