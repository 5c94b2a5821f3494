"""The edge: session manifests and their addresses. Decisions are in modules without I/O."""
