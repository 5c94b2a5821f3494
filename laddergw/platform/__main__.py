"""One director process: reads its configuration and serves until it is told to stop."""

# Before all else: until the loop handles them, signals end the process by default.
if __name__ == "__main__":
    from laddergw.loop import signal_mask

    signal_mask.block_signals()

import gc
import logging
import os
import resource
import signal
import sys
import time

from laddergw.loop import signal_mask
from laddergw.loop.sockets import SocketLoop
from laddergw.platform import configuration as configurations
from laddergw.platform.director import Director

EXIT_OK, EXIT_FAILED, EXIT_BAD_CONFIGURATION = 0, 1, 2

log = logging.getLogger("laddergw.platform")


def reload_configuration(path: str, director: Director) -> None:
    """Handles SIGHUP: reads the file again. A file that is refused changes nothing.

    Limits are part of this file: the operators' limits file is laddergw/director's alone.
    """
    try:
        configuration = with_descriptors(configurations.read_file(path))
        director.apply_configuration(configuration)
    except configurations.ConfigurationError as error:
        log.error("configuration refused, the current one stays in force: %s", error)
    else:
        log.info("configuration read again, change log at %s", configuration.changelog)


def with_descriptors(configuration: configurations.Configuration) -> configurations.Configuration:
    """Raises the process's descriptor limit to the file's, as far as the hard limit allows.

    Returns the configuration with the number that the process may really hold, which the
    director's shares are taken of.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = (
        configuration.sockets
        if hard == resource.RLIM_INFINITY
        else min(configuration.sockets, hard)
    )
    if soft != resource.RLIM_INFINITY and soft < allowed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    return configuration._replace(sockets=allowed)


def main() -> int:
    """Runs the director until it stops; returns the process's exit status."""
    logging.basicConfig(
        stream=sys.stderr,
        level=os.environ.get("LADDERGW_LOG", "INFO"),
        format="%(asctime)s %(levelname)s %(message)s",
    )
    path = os.environ.get("PROXY_CONFIG", "")
    try:
        configuration = with_descriptors(configurations.read_file(path))
    except configurations.ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    loop = SocketLoop()
    try:
        director = Director(loop, configuration)
    except OSError as error:
        print(f"cannot listen at {configuration.listen}: {error}", file=sys.stderr)
        return EXIT_FAILED
    for number in signal.SIGTERM, signal.SIGINT:
        loop.on_signal(number, director.stop)
    loop.on_signal(signal.SIGHUP, lambda: reload_configuration(path, director))
    # What the start has created stays for the process's life: the collector need not scan it again.
    gc.freeze()
    log.info(
        "director %s runs at %s, %d nodes, change log at %s; "
        "its start took %.0f ms of processor time",
        configuration.name,
        configuration.listen,
        len(director.nodes.by_id),
        configuration.changelog,
        time.process_time() * 1000,
    )
    loop.run()
    # A signal must not end the process in another way while it exits.
    signal_mask.block_signals()
    log.info("director %s ends", configuration.name)
    loop.close()
    return EXIT_FAILED if director.broken else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
