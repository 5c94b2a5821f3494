"""The planner: collects what the edges report, stores what must survive a restart, and sends plans to the edges."""
