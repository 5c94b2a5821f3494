"""Hosts controllers on the simulator's wire: reads batches of events on standard input, writes replies with actions to standard output."""
import contextlib
import sys
import traceback

from laddergw import interface, peer_messages, settings
from laddergw.control import Controller
from laddergw.wirehost import codec

NODE_STATES = {0: interface.GONE, 1: interface.READY, 2: interface.DRAINING}
OUTCOMES = {10: interface.SERVED, 20: interface.ERROR, 30: interface.FULL, 40: interface.TIMED_OUT, 50: interface.UNREACHABLE,
            60: interface.BROKEN, 70: interface.CANCELLED, 80: interface.NEVER_SENT}
NOTES = {1: interface.DELIVERED, 2: interface.RUNG_CHANGED, 3: interface.LINK_DEMAND, 4: interface.UPLINK_DEMAND}
LENGTH_HINT_GIVEN = 1          # bit of a request's bitmap
# Forms of a fleet list event.
LIST_FAILED, LIST_DELTA = 3, 0
MAX_TIMER_US = 71 * 60 * 1_000_000   # the wire's longest timer


def to_timer_us(ms):
    """Converts milliseconds to a duration of the wire, in microseconds, within its bounds."""
    return max(0, min(int(ms * 1000), MAX_TIMER_US))


class Instance:
    """One director: its controller and the time of the timer that it has requested on the wire."""

    def __init__(self, number, seed, text, now):
        self.number, self.wake = number, None
        self.controller = Controller(settings.decode(settings.parse(text)), seed, now)

    def encode_verdicts(self, now, result, out):
        """Appends the actions of a controller's result to `out`, with a timer where it must wake earlier than requested."""
        verdicts, wake = result
        for verdict in verdicts:
            out.extend(codec.encode_action(codec.INSPECT, self.number, node) for node in verdict.probe_nodes)
            if verdict.notify_directors:
                out.extend(codec.encode_broadcast(self.number, peer, message) for message in peer_messages.pack(verdict.loads, verdict.shares) for peer in verdict.notify_directors)
            elif verdict != interface.Verdict(verdict.play, probe_nodes=verdict.probe_nodes):   # more than probes
                out.append(self.encode_verdict(verdict))
        if wake is not None and (self.wake is None or wake < self.wake):
            self.wake = wake
            out.append(codec.encode_action(codec.AFTER, self.number, max(1, to_timer_us(wake - now)), 0))

    def encode_verdict(self, verdict):
        """Encodes a verdict on a play, or the request for the fleet list."""
        if verdict.request_fleet_list:
            return codec.encode_action(codec.TRACK, self.number, 1)
        if verdict.node is not None:
            return (codec.encode_action(codec.SET_RATE, self.number, verdict.play, verdict.rung)
                    + codec.encode_action(codec.DELIVER, self.number, verdict.play, verdict.node, to_timer_us(verdict.timeout_ms)))
        if verdict.answer == interface.DECLINED:
            return codec.encode_action(codec.PUSH_BACK, self.number, verdict.play, to_timer_us(verdict.retry_after_ms or 0))
        if verdict.answer == interface.FAILED:
            return codec.encode_action(codec.FAIL, self.number, verdict.play)
        if verdict.move:
            return codec.encode_action(codec.REASSIGN, self.number, verdict.play)
        return codec.encode_action(codec.SET_RATE, self.number, verdict.play, verdict.rung)

    def handle_event(self, code, fields, tail, now, pages):
        """Passes an event to the controller; its verdicts and wake time."""
        controller = self.controller
        if code == codec.REQUEST:
            return controller.request_play(now, interface.PlayRequest(
                fields[1], fields[3], fields[4], fields[5], fields[8], fields[7],
                fields[2] / 1000 if fields[10] & LENGTH_HINT_GIVEN else None, fields[11] / 1000))
        if code == codec.INHERITED:
            return controller.take_over_play(now, interface.PlayRequest(
                fields[1], fields[2], fields[5], fields[8], fields[9], fields[10],
                fields[7] / 1000 if fields[11] & LENGTH_HINT_GIVEN else None, fields[6] / 1000), fields[12])
        if code == codec.STARTED:
            return controller.play_started(now, fields[1], fields[2], fields[3] / 1000, fields[4])
        if code == codec.REPLY:
            return controller.allocation_ended(now, fields[1], fields[6], OUTCOMES.get(fields[5], interface.ERROR), fields[3], bool(fields[2]), tail)
        if code == codec.INTERIM:
            return controller.update_play(now, fields[1], fields[2], NOTES.get(fields[3]), fields[5])
        if code == codec.HANGUP:
            return controller.viewer_left(now, fields[1])
        if code == codec.ALARM:
            # A timer that an earlier one has superseded still fires, before the requested time: that time then stays.
            if self.wake is not None and now >= self.wake:
                self.wake = None
            return controller.wake(now)
        if code == codec.REGISTRY:
            if fields[1] == LIST_FAILED:
                return controller.fleet_list_failed(now)
            entries = [interface.NodeEntry(entry[6], entry[0], entry[1], NODE_STATES.get(entry[2], interface.GONE),
                                           entry[3] / 1000, entry[4], entry[5], entry[6])
                       for entry in pages.get(fields[3], ())]
            return controller.update_fleet(now, entries, fields[1] != LIST_DELTA)
        if code == codec.ECHO:
            return controller.probe_ended(now, fields[1], OUTCOMES.get(fields[3], interface.ERROR), fields[2] / 1000, tail)
        if code == codec.MAIL:
            try:
                return controller.receive_peer_report(now, fields[1], *peer_messages.unpack(tail))
            except peer_messages.MalformedMessage as error:
                print(f"laddergw: instance {self.number}: message from peer {fields[1]}: {error}", file=sys.stderr)
        return [], None


@contextlib.contextmanager
def report_failure(key, instances, failed, out):
    """Reports any failure of an instance, once, as the wire requires; the other instances go on."""
    try:
        yield
    except Exception as error:
        instances.pop(key, None)
        if key not in failed:
            failed.add(key)
            print(f"laddergw: instance {key}: {type(error).__name__}: {error}", file=sys.stderr)
            if not isinstance(error, settings.SettingError):
                traceback.print_exc()
            out.append(codec.encode_text_action(codec.BAIL_OUT, key, f"{type(error).__name__}: {error}"))


def serve(stdin, stdout):
    """Answers batches until the end of input."""
    pages, instances, failed, offset = {}, {}, set(), 0
    while (batch := codec.read_batch(stdin, offset)) is not None:
        number, clock, events, size = batch
        offset += size
        now, out, touched = clock / 1000, [], {}
        for code, fields, tail in events:
            if code == codec.PAGE:
                pages[fields[0]] = tail
                continue
            key = fields[0]
            if code == codec.KILLED:
                instances.pop(key, None)
                touched.pop(key, None)
                continue
            with report_failure(key, instances, failed, out):
                if code == codec.POWER_ON:
                    failed.discard(key)
                    instances.pop(key, None)
                    instances[key] = Instance(key, fields[1], tail.decode("utf-8", "replace"), now)
                elif key in instances:
                    instances[key].encode_verdicts(now, instances[key].handle_event(code, fields, tail, now, pages), out)
                    touched[key] = True
        for key in touched:
            with report_failure(key, instances, failed, out):
                if key in instances:
                    instances[key].encode_verdicts(now, instances[key].controller.decide(now), out)
        stdout.write(codec.encode_reply(number, b"".join(out)))
        stdout.flush()


def main():
    """Runs the adapter; returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.MalformedBatch as error:
        print(f"laddergw: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
