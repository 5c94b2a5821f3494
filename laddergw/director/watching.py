"""Logs and metrics of a director: its decisions go to structlog and Prometheus, latencies to HDR histograms.

Each decision is one line at level debug, sampled once there are many; a line that is not written is not formatted either.
"""
import logging
import sys
from typing import Any, Callable

import structlog
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

from laddergw.http.server import Exchange

# Above this only one decision line of SAMPLE_INTERVAL is written
MAX_LINES_PER_SECOND = 200
SAMPLE_INTERVAL = 20
# Range and significant digits of the histograms
MIN_RECORDED_US, MAX_RECORDED_US, DIGITS = 1, 60_000_000, 3
QUANTILES = (50, 90, 99, 99.9)


def logger(level: str, stream=None) -> structlog.stdlib.BoundLogger:
    """A logger of one JSON line per record, on standard error; `level` as in logging."""
    logging.basicConfig(level=level.upper(), stream=stream or sys.stderr, format="%(message)s", force=True)
    structlog.configure(
        processors=[structlog.stdlib.filter_by_level, structlog.stdlib.add_log_level, structlog.stdlib.add_logger_name,
                    structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.processors.format_exc_info,
                    structlog.processors.JSONRenderer()],
        logger_factory=structlog.stdlib.LoggerFactory(), wrapper_class=structlog.stdlib.BoundLogger)
    return structlog.stdlib.get_logger("laddergw")


class Watcher:
    """Records and counts a director's decisions, and serves the counts."""

    def __init__(self, log, now: Callable[[], float]):
        self.log, self.now, self.registry = log, now, CollectorRegistry()
        self.debug_enabled = log.isEnabledFor(logging.DEBUG) if hasattr(log, "isEnabledFor") else logging.getLogger("laddergw").isEnabledFor(logging.DEBUG)
        self.current_second, self.lines_this_second, self.lines_dropped = 0, 0, 0
        labels = dict(registry=self.registry)
        self.answers = Counter("laddergw_answers", "Final answers", ["product", "answer"], **labels)
        self.allocations = Counter("laddergw_allocations", "Set-ups sent out", ["further"], **labels)
        self.ends = Counter("laddergw_allocation_ends", "How allocations ended", ["outcome"], **labels)
        self.sessions = Counter("laddergw_sessions", "Node sessions", ["what"], **labels)
        self.events = Counter("laddergw_events", "Other things of note", ["what"], **labels)
        self.gauges = {name: Gauge(f"laddergw_{name}", text, **labels) for name, text in (
            ("waiting", "Viewers that wait for an answer"), ("held", "Plays under way"), ("lag_ms", "Worst lateness of a loop turn"),
            ("nodes", "Nodes with a link"), ("bad_list_frames", "List frames refused"),
            ("limits_generation", "Generation of the operators' limits in force"), ("limits_older", "Older generations with plays"),
            ("limits_refused", "Files of limits refused"))}
        self.own_delay, self.first_frame = HdrHistogram(MIN_RECORDED_US, MAX_RECORDED_US, DIGITS), HdrHistogram(MIN_RECORDED_US, MAX_RECORDED_US, DIGITS)
        self.labelled_counters: dict[tuple, Any] = {}

    def labelled(self, metric: Counter, *labels: str):
        """The counter with these labels, kept for the next call."""
        counter = self.labelled_counters.get((metric, labels))
        if counter is None:
            counter = self.labelled_counters[metric, labels] = metric.labels(*labels)
        return counter

    def event(self, what: str, **facts: Any) -> None:
        """Counts one event of the director and logs it at level debug."""
        if what == "answer":
            self.labelled(self.answers, facts["product"], facts["answer"]).inc()
            self.own_delay.record_value(max(MIN_RECORDED_US, min(MAX_RECORDED_US, int(facts["own_ms"] * 1000))))
            if facts["first_ms"] is not None:
                self.first_frame.record_value(max(MIN_RECORDED_US, min(MAX_RECORDED_US, int(facts["first_ms"] * 1000))))
        elif what == "allocate":
            self.labelled(self.allocations, "yes" if facts["number"] else "no").inc()
        elif what == "ended":
            self.labelled(self.ends, facts["outcome"]).inc()
        elif what.startswith("session"):
            self.labelled(self.sessions, what[8:]).inc()
        else:
            self.labelled(self.events, what).inc()
        if self.debug_enabled:
            self.log_event(what, facts)

    def log_event(self, what: str, facts: dict) -> None:
        """Writes an event, unless the sampling of this second leaves it out."""
        second = int(self.now() / 1000)
        if second != self.current_second:
            if self.lines_dropped:
                self.log.info("lines sampled", left_out=self.lines_dropped)
            self.current_second, self.lines_this_second, self.lines_dropped = second, 0, 0
        self.lines_this_second += 1
        if self.lines_this_second > MAX_LINES_PER_SECOND and self.lines_this_second % SAMPLE_INTERVAL:
            self.lines_dropped += 1
            return
        self.log.debug(what, **facts)

    def page(self, director) -> Callable[[Exchange], None]:
        """Returns the handler of the metrics page, in Prometheus' text format."""

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
        """The histograms in Prometheus' text format."""
        lines = []
        for name, histogram in (("own_delay_ms", self.own_delay), ("first_frame_ms", self.first_frame)):
            lines.append(f"# TYPE laddergw_{name} summary")
            for q in QUANTILES:
                lines.append(f'laddergw_{name}{{quantile="{q / 100:g}"}} {histogram.get_value_at_percentile(q) / 1000:g}')
            lines.append(f"laddergw_{name}_count {histogram.get_total_count()}")
        return ("\n".join(lines) + "\n").encode()


def health(director) -> Callable[[Exchange], None]:
    """Returns the handler of the health page: 200 while plays are admitted; 503 before the first list, while the director stops, and, with the reason, while it may admit nothing."""

    def page(exchange: Exchange) -> None:
        ready, rejection = bool(director.fleet.links) and not director.stopping, director.closed_rejection()
        if ready and rejection is not None:
            return exchange.answer(503, b'{"ready": false, "why": "%s"}\n' % rejection.reason.encode())
        exchange.answer(200 if ready else 503, b'{"ready": true}\n' if ready else b'{"ready": false}\n')
    return page
