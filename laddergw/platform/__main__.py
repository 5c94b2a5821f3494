"""One real director: reads its configuration, serves until it is told to stop."""

if (
    __name__ == "__main__"
):  # before all else: until the loop takes them, signals end a process by default
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

EXIT_GOOD, EXIT_FAILED, EXIT_FILE = 0, 1, 2

log = logging.getLogger("laddergw.platform")


def read_again(path: str, director: Director) -> None:
    """At SIGHUP. A file that is refused changes nothing."""
    try:
        found = with_descriptors(configurations.read_file(path))
        director.apply_configuration(found)
    except configurations.ConfigurationError as error:
        log.error("configuration refused, what is in force stays: %s", error)
    else:
        log.info("configuration read again, change log at %s", found.changelog)


def with_descriptors(found: configurations.Configuration) -> configurations.Configuration:
    """Raises the process's limit to what the file tells, as far as it may; the parts are taken of
    what it may really hold.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = found.sockets if hard == resource.RLIM_INFINITY else min(found.sockets, hard)
    if soft != resource.RLIM_INFINITY and soft < most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    return found._replace(sockets=most)


def main() -> int:
    logging.basicConfig(
        stream=sys.stderr,
        level=os.environ.get("LADDERGW_LOG", "INFO"),
        format="%(asctime)s %(levelname)s %(message)s",
    )
    path = os.environ.get("PROXY_CONFIG", "")
    try:
        found = with_descriptors(configurations.read_file(path))
    except configurations.ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_FILE
    loop = SocketLoop()
    try:
        director = Director(loop, found)
    except OSError as error:
        print(f"cannot listen at {found.listen}: {error}", file=sys.stderr)
        return EXIT_FAILED
    for number in signal.SIGTERM, signal.SIGINT:
        loop.on_signal(number, director.stop)
    loop.on_signal(signal.SIGHUP, lambda: read_again(path, director))
    gc.freeze()  # what the start has made stays: no pass looks at it again
    log.info(
        "director %s runs at %s, %d nodes, change log at %s; "
        "started with %.0f ms of its processor's time",
        found.name,
        found.listen,
        len(director.nodes.by_id),
        found.changelog,
        time.process_time() * 1000,
    )
    loop.run()
    signal_mask.block_signals()  # what comes to a process that ends must not end it otherwise
    log.info("director %s ends", found.name)
    loop.close()
    return EXIT_FAILED if director.broken else EXIT_GOOD


if __name__ == "__main__":
    sys.exit(main())
