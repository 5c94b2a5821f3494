"""The deployments in deploy/sites/, which the bench plays, as a director's file tells them."""
import pathlib

SITES = pathlib.Path(__file__).parent.parent / "deploy/sites"
REPEATS = {"safe": ("pure", "safe"), "unsafe": ("side_effect", "paid")}


def settings_of(site):
    """A site's terms as a director's file tells them; of ranges the upper end."""
    def most(value):
        return value[-1] if isinstance(value, list) else value
    allow, rules, fam, tier = site["allow"], site["rules"], site["fam"], site["tier"][0]
    rungs = int(most(fam["rungs"]))
    own = {"Grades": [{"Name": row["name"], "Points": row["worth"], "Repeat": REPEATS[row["effect"]][0], "GiveUp": row["deadline_ms"] * 1000}
                      for row in site["class"]],
           "Kinds": [kind["name"] for kind in tier["kind"]], "Zones": site["net"]["zones"], "Siblings": 3, "Ordinal": 1,
           "Reporting": {"Names": tier["report"]["fields"], "How": tier["report"]["how"]},
           "Permissions": {"MaxAttempts": allow["max_attempts"], "ConnectTimeout": tier["conn"]["connect_timeout_ms"] * 1000,
                           "RetryAfter": allow["retry_after"], "MaxRetryAfter": site["clients"]["max_retry_after_ms"] * 1000},
           "Rules": {"FallMultiple": rules["fall_multiple"], "Fall": rules["fall_ms"] * 1000, "ColdFrom": tier["kind"][0]["cold_from"][0],
                     "WarmWithin": most(tier["kind"][0]["cold_s"]) * 1_000_000},
           "Specifics": {"LadderKb": [100.0 * 2 ** n for n in range(rungs)], "WorthByRung": [(n + 1) / rungs for n in range(rungs)],
                         "Positions": 4, "Groups": 2, "LinkUnitKb": 9000.0, "RackKb": 40000.0, "KindSlots": [30] * len(tier["kind"]),
                         "LowestRung": [row.get("floor", 0) for row in fam["class"]], "Live": [row.get("live", False) for row in fam["class"]],
                         "HighestRung": [min(row.get("top", rungs - 1), rungs - 1) for row in fam["class"]]}}
    if "budget_share" in rules:
        own["Rules"] |= {"ExtraRatio": rules["budget_share"], "FreeResends": rules["budget_free"], "CountedOver": rules["budget_ms"] * 1000}
    return own
