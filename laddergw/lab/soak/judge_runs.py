"""Checks where plays that may have run are sent, and how they are refused. No I/O."""

from collections import defaultdict

from laddergw.lab.soak.violation import RuleViolation


def by_session(records, *events: str) -> dict[str, list]:
    """Returns the records of the given events by session."""
    found = defaultdict(list)
    for at, event, fields in records:
        if event in events:
            found[fields["session"]].append((at, event, fields))
    return found


def check_refusals(records, undeclinable_products: set[str]) -> list[RuleViolation]:
    """Checks that no play that may have run is declined where a retry would not be safe."""
    violations = []
    for session, history in by_session(records, "arrived", "over", "answered").items():
        may_have_run = sum(
            event == "arrived" and fields["product"] in undeclinable_products
            for _, event, fields in history
        ) - sum(event == "over" and fields.get("never_ran", False) for _, event, fields in history)
        if may_have_run > 0 and any(
            event == "answered" and fields["answer"] == "declined" for _, event, fields in history
        ):
            violations.append(
                RuleViolation("dup", f"declined, though it may have run: {session}", session)
            )
    return violations


def check_single_runs(records, single_run_products: set[str]) -> list[RuleViolation]:
    """Checks that no play is open at two nodes, and that no product that runs once is set up a
    second time where the first may have run.
    """
    violations = []
    for session, history in by_session(records, "arrived", "over").items():
        running_at, may_have_run = set(), 0
        # Of events that this process read in one turn, an attempt's end may be recorded second.
        ends = {(at, fields["node"]) for at, event, fields in history if event == "over"}
        for at, event, fields in history:
            if event == "over":
                running_at.discard(fields["node"])
                may_have_run -= fields.get("never_ran", False)
                continue
            if others := [node for node in running_at if (at, node) not in ends]:
                violations.append(
                    RuleViolation(
                        "twice",
                        f"open at {fields['node']} and at {', '.join(others)}: {session}",
                        session,
                    )
                )
            running_at.add(fields["node"])
            may_have_run += 1
            if may_have_run > 1 and fields["product"] in single_run_products:
                violations.append(
                    RuleViolation("twice", f"a paid play set up a second time: {session}", session)
                )
    return violations


def check_keyed_retries(records, products: set[str]) -> list[RuleViolation]:
    """Checks that a play that may have run in a cell is sent to that cell alone.

    `products`: those that are keyed by cell.
    """
    attempts, never_ran = defaultdict(list), set()
    for _, event, fields in records:
        if event == "arrived" and fields["product"] in products:
            attempts[fields["session"]].append(fields)
        elif event == "over" and fields.get("never_ran"):
            never_ran.add((fields["session"], fields["node"]))
    violations = []
    for session, arrivals in attempts.items():
        ran = [fields for fields in arrivals if (session, fields["node"]) not in never_ran]
        if not ran:
            continue
        later = arrivals[arrivals.index(ran[0]) + 1 :]
        outside = [fields["node"] for fields in later if fields["cell"] != ran[0]["cell"]]
        if outside:
            violations.append(
                RuleViolation(
                    "twice",
                    f"sent outside its key's cell, to {', '.join(outside)}: {session}",
                    session,
                )
            )
    return violations
