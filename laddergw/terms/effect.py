"""Applies the limits file to the deployment that the controller is given: its budget, cold pace, floors and seats. No I/O."""
from laddergw import interface
from laddergw.terms.limits import Limits


def deployment_with(deployment: interface.Deployment, names: tuple[str, ...], limits: Limits) -> interface.Deployment:
    """The director's deployment with the values that the limits file overrides."""
    products = []
    for name, product in zip(names, deployment.products):
        entry = limits.products.get(name)
        floor = entry.floor.value if entry is not None and entry.floor is not None else product.floor
        seats = entry.seats.value if entry is not None and entry.seats is not None else product.seats
        products.append(product._replace(floor=int(floor), seats=int(seats)))
    limited = deployment._replace(products=tuple(products), fall_multiple=deployment.fall_multiple * limits.cold_pace.value)
    if limits.budget is not None:
        limited = limited._replace(budget_free=limits.budget.free, budget_share=limits.budget.share, budget_ms=limits.budget.window_ms)
    return limited
