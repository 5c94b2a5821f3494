"""Compares two sans-I/O HTTP parsers on a play request, h11 and httptools, in one run (for docs/director.md).

    PYTHONPATH=. .venv/bin/python benchmarks/http_parsers.py
"""
import time

import h11
import httptools

REQUEST = (b"POST /v1/plays HTTP/1.1\r\nHost: 127.0.0.1:8100\r\nContent-Type: application/json\r\nContent-Length: 180\r\n\r\n" + b"x" * 180)
REQUESTS, ROUNDS = 3_000, 7


class IgnoredEvents:
    """Callbacks of httptools that do nothing."""

    def on_message_begin(self): pass
    def on_url(self, url): pass
    def on_header(self, name, value): pass
    def on_headers_complete(self): pass
    def on_body(self, body): pass
    def on_message_complete(self): pass


def with_httptools() -> None:
    """Parses the request REQUESTS times with httptools."""
    parser = httptools.HttpRequestParser(IgnoredEvents())
    for _ in range(REQUESTS):
        parser.feed_data(REQUEST)


def with_h11() -> None:
    """Parses the request REQUESTS times with h11, which also needs a response to go on."""
    connection = h11.Connection(h11.SERVER)
    for _ in range(REQUESTS):
        connection.receive_data(REQUEST)
        while type(connection.next_event()) is not h11.EndOfMessage:
            pass
        connection.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
        connection.send(h11.EndOfMessage())
        connection.start_next_cycle()


def main() -> None:
    """Prints median times per request in us."""
    rounds = []
    for _ in range(ROUNDS):
        times_us = []
        for run in with_httptools, with_h11:
            started = time.perf_counter()
            run()
            times_us.append((time.perf_counter() - started) / REQUESTS * 1e6)
        rounds.append(times_us)
    httptools_us, h11_us = (sorted(times_us[k] for times_us in rounds)[ROUNDS // 2] for k in (0, 1))
    ratio = sorted(times_us[1] / times_us[0] for times_us in rounds)[ROUNDS // 2]
    print(f"httptools {httptools_us:.1f} us per request, h11 {h11_us:.1f} us per request with its response, ratio {ratio:.1f}")


if __name__ == "__main__":
    main()
