"""Logs and metrics of a director: what it decided, told to structlog and to Prometheus; latency in HDR histograms.

Decisions are lines at debug, one each, sampled once there are many; nothing is formatted that is not written.
"""
import logging
import sys
from typing import Any, Callable

import structlog
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from laddergw.http.server import Exchange

LINES_FULL = 200           # decision lines a second written whole; past that one of SAMPLE
SAMPLE = 20
LEAST_US, MOST_US, DIGITS = 1, 60_000_000, 3      # of the histograms
QUANTILES = (50, 90, 99, 99.9)


def logger(level: str, stream=None) -> structlog.stdlib.BoundLogger:
    """One JSON line a record, on standard error; `level` as in logging."""
    logging.basicConfig(level=level.upper(), stream=stream or sys.stderr, format="%(message)s", force=True)
    structlog.configure(
        processors=[structlog.stdlib.filter_by_level, structlog.stdlib.add_log_level, structlog.stdlib.add_logger_name,
                    structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.processors.format_exc_info,
                    structlog.processors.JSONRenderer()],
        logger_factory=structlog.stdlib.LoggerFactory(), wrapper_class=structlog.stdlib.BoundLogger)
    return structlog.stdlib.get_logger("laddergw")


class Watcher:
    """Told by a director of everything it decides; serves what it counted."""

    def __init__(self, log, now: Callable[[], float]):
        self.log, self.now, self.registry = log, now, CollectorRegistry()
        self.debug = log.isEnabledFor(logging.DEBUG) if hasattr(log, "isEnabledFor") else logging.getLogger("laddergw").isEnabledFor(logging.DEBUG)
        self.second, self.lines, self.dropped = 0, 0, 0
        labels = dict(registry=self.registry)
        self.answers = Counter("laddergw_answers", "Final answers", ["product", "answer"], **labels)
        self.allocations = Counter("laddergw_allocations", "Set-ups sent out", ["further"], **labels)
        self.ends = Counter("laddergw_allocation_ends", "How allocations ended", ["outcome"], **labels)
        self.sessions = Counter("laddergw_sessions", "Node sessions", ["what"], **labels)
        self.others = Counter("laddergw_events", "Other things of note", ["what"], **labels)
        self.gauges = {name: Gauge(f"laddergw_{name}", text, **labels) for name, text in (
            ("waiting", "Viewers that wait for an answer"), ("held", "Plays under way"), ("lag_ms", "Worst lateness of a loop turn"),
            ("nodes", "Nodes with a link"), ("bad_list_frames", "List frames refused"),
            ("limits_generation", "Generation of the operators' limits in force"), ("limits_older", "Older generations with plays"),
            ("limits_refused", "Files of limits refused"))}
        self.own, self.first = HdrHistogram(LEAST_US, MOST_US, DIGITS), HdrHistogram(LEAST_US, MOST_US, DIGITS)
        self.children: dict[tuple, Any] = {}

    def child(self, metric: Counter, *labels: str):
        found = self.children.get((metric, labels))
        if found is None:
            found = self.children[metric, labels] = metric.labels(*labels)
        return found

    def told(self, what: str, **facts: Any) -> None:
        if what == "answer":
            self.child(self.answers, facts["product"], facts["answer"]).inc()
            self.own.record_value(max(LEAST_US, min(MOST_US, int(facts["own_ms"] * 1000))))
            if facts["first_ms"] is not None:
                self.first.record_value(max(LEAST_US, min(MOST_US, int(facts["first_ms"] * 1000))))
        elif what == "allocate":
            self.child(self.allocations, "yes" if facts["number"] else "no").inc()
        elif what == "ended":
            self.child(self.ends, facts["outcome"]).inc()
        elif what.startswith("session"):
            self.child(self.sessions, what[8:]).inc()
        else:
            self.child(self.others, what).inc()
        if self.debug:
            self.write(what, facts)

    def write(self, what: str, facts: dict) -> None:
        second = int(self.now() / 1000)
        if second != self.second:
            if self.dropped:
                self.log.info("lines sampled", left_out=self.dropped)
            self.second, self.lines, self.dropped = second, 0, 0
        self.lines += 1
        if self.lines > LINES_FULL and self.lines % SAMPLE:
            self.dropped += 1
            return
        self.log.debug(what, **facts)

    def page(self, director) -> Callable[[Exchange], None]:
        """The metrics page in Prometheus' text form."""

        def metrics(exchange: Exchange) -> None:
            for name, value in (("waiting", director.waiting), ("held", director.active_plays), ("lag_ms", director.loop.max_lag_ms),
                                ("nodes", len(director.fleet.links)), ("bad_list_frames", director.fleet.bad_frames),
                                ("limits_generation", director.generations.current.number), ("limits_older", len(director.generations.older)),
                                ("limits_refused", director.generations.rejected)):
                self.gauges[name].set(value)
            text = generate_latest(self.registry) + self.quantiles()
            exchange.answer(200, text, "text/plain; version=0.0.4")
        return metrics

    def quantiles(self) -> bytes:
        lines = []
        for name, histogram in (("own_delay_ms", self.own), ("first_frame_ms", self.first)):
            lines.append(f"# TYPE laddergw_{name} summary")
            for q in QUANTILES:
                lines.append(f'laddergw_{name}{{quantile="{q / 100:g}"}} {histogram.get_value_at_percentile(q) / 1000:g}')
            lines.append(f"laddergw_{name}_count {histogram.get_total_count()}")
        return ("\n".join(lines) + "\n").encode()


def health(director) -> Callable[[Exchange], None]:
    """200 while plays are taken, 503 before the first list, while the director stops, and while it may let nothing in, with the reason."""

    def page(exchange: Exchange) -> None:
        ready, shut = bool(director.fleet.links) and not director.stopping, director.closed_rejection()
        if ready and shut is not None:
            return exchange.answer(503, b'{"ready": false, "why": "%s"}\n' % shut.reason.encode())
        exchange.answer(200 if ready else 503, b'{"ready": true}\n' if ready else b'{"ready": false}\n')
    return page
