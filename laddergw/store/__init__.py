"""What survives a process: a planner's history, snapshots and journal in an embedded database."""
