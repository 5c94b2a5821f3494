"""The laboratory: stand-ins for media nodes, the list service and viewers, rehearsals, and the audit of what passed."""
