"""What the fleet's processes act on: versions of things, who acted under which, and what is kept of it. Pure modules, time handed in."""
