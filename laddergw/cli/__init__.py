"""The command line: sub-commands on typer, each a thin call of a package."""
