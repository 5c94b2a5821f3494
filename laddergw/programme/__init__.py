"""Programme changes: which notices and advertisements are stitched into which sessions, where, and from which node. No I/O."""
