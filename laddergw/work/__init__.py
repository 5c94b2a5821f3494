"""Background work in cooperative steps, with priorities and a budget of ms for each turn."""
