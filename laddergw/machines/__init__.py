"""Pure state machines that the HTTP director runs, as does the search that proves a limits file.

They cover an allocation, a viewer's attempt, admission, concurrency limits and retry budgets. The
platform's director does not use them: see platform/allocation.py and platform/admission.py.
"""
