"""The deployments of deploy/sites/, which the bench plays, as the settings of a director's configuration file."""
import pathlib

SITES = pathlib.Path(__file__).parent.parent / "deploy/sites"
# Of each effect of a site's class: the settings' Repeat, and Product.repeat.
RETRY_SAFETY = {"safe": ("pure", "safe"), "unsafe": ("side_effect", "paid")}


def director_settings(site):
    """Returns a site's terms as a director's settings; of a range its upper end."""
    def upper_end(value):
        return value[-1] if isinstance(value, list) else value
    allow, rules, family, tier = site["allow"], site["rules"], site["fam"], site["tier"][0]
    rungs = int(upper_end(family["rungs"]))
    settings = {"Grades": [{"Name": row["name"], "Points": row["worth"], "Repeat": RETRY_SAFETY[row["effect"]][0], "GiveUp": row["deadline_ms"] * 1000}
                           for row in site["class"]],
                "Kinds": [kind["name"] for kind in tier["kind"]], "Zones": site["net"]["zones"], "Siblings": 3, "Ordinal": 1,
                "Reporting": {"Names": tier["report"]["fields"], "How": tier["report"]["how"]},
                "Permissions": {"MaxAttempts": allow["max_attempts"], "ConnectTimeout": tier["conn"]["connect_timeout_ms"] * 1000,
                                "RetryAfter": allow["retry_after"], "MaxRetryAfter": site["clients"]["max_retry_after_ms"] * 1000},
                "Rules": {"FallMultiple": rules["fall_multiple"], "Fall": rules["fall_ms"] * 1000, "ColdFrom": tier["kind"][0]["cold_from"][0],
                          "WarmWithin": upper_end(tier["kind"][0]["cold_s"]) * 1_000_000},
                "Specifics": {"LadderKb": [100.0 * 2 ** n for n in range(rungs)], "WorthByRung": [(n + 1) / rungs for n in range(rungs)],
                              "Positions": 4, "Groups": 2, "LinkUnitKb": 9000.0, "RackKb": 40000.0, "KindSlots": [30] * len(tier["kind"]),
                              "LowestRung": [row.get("floor", 0) for row in family["class"]], "Live": [row.get("live", False) for row in family["class"]],
                              "HighestRung": [min(row.get("top", rungs - 1), rungs - 1) for row in family["class"]]}}
    if "budget_share" in rules:
        settings["Rules"] |= {"ExtraRatio": rules["budget_share"], "FreeResends": rules["budget_free"], "CountedOver": rules["budget_ms"] * 1000}
    return settings
