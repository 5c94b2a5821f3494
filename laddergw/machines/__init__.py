"""The pure machines that the directors run and the search that proves a file calls: an allocation,
a try, the door, paces, budgets.
"""
