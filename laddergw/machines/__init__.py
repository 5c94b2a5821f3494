"""Pure state machines that the directors run; the search that proves a limits file runs them too.

They cover an allocation, a viewer's attempt, admission, concurrency limits and retry budgets.
"""
