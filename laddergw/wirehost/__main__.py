"""Hosts controllers on the bench's wire: reads batches on standard input, writes replies to standard output."""
import contextlib
import sys
import traceback

from laddergw import interface as face, peer_messages, settings
from laddergw.control import Controller
from laddergw.wirehost import codec

STATES = {0: face.GONE, 1: face.READY, 2: face.DRAINING}
OUTCOMES = {10: face.SERVED, 20: face.ERROR, 30: face.FULL, 40: face.TIMED_OUT, 50: face.UNREACHABLE,
            60: face.BROKEN, 70: face.CANCELLED, 80: face.NEVER_SENT}
NOTES = {1: face.DELIVERED, 2: face.RUNG_CHANGED, 3: face.LINK_DEMAND, 4: face.UPLINK_DEMAND}
HINTED = 1          # bit of a request's bitmap: a length hint is given
FORM_FAILED, FORM_DELTA = 3, 0
LONGEST_US = 71 * 60 * 1_000_000   # the wire's longest timer


def micros(ms):
    return max(0, min(int(ms * 1000), LONGEST_US))


class Instance:
    """One director: its controller and the wake time asked of the wire."""

    def __init__(self, number, seed, text, now):
        self.number, self.wake = number, None
        self.controller = Controller(settings.decode(settings.parse(text)), seed, now)

    def encode(self, now, result, out):
        verdicts, wake = result
        for v in verdicts:
            out.extend(codec.action(codec.INSPECT, self.number, node) for node in v.probe_nodes)
            if v.notify_directors:
                out.extend(codec.message(self.number, peer, m) for m in peer_messages.pack(v.loads, v.shares) for peer in v.notify_directors)
            elif v != face.Verdict(v.play, probe_nodes=v.probe_nodes):   # it holds more than probes
                out.append(self.one(v))
        if wake is not None and (self.wake is None or wake < self.wake):
            self.wake = wake
            out.append(codec.action(codec.AFTER, self.number, max(1, micros(wake - now)), 0))

    def one(self, v):
        if v.request_fleet_list:
            return codec.action(codec.TRACK, self.number, 1)
        if v.node is not None:
            return (codec.action(codec.SET_RATE, self.number, v.play, v.rung)
                    + codec.action(codec.DELIVER, self.number, v.play, v.node, micros(v.timeout_ms)))
        if v.answer == face.DECLINED:
            return codec.action(codec.PUSH_BACK, self.number, v.play, micros(v.retry_after_ms or 0))
        if v.answer == face.FAILED:
            return codec.action(codec.FAIL, self.number, v.play)
        if v.move:
            return codec.action(codec.REASSIGN, self.number, v.play)
        return codec.action(codec.SET_RATE, self.number, v.play, v.rung)

    def event(self, code, f, tail, now, pages):
        c = self.controller
        if code == codec.REQUEST:
            return c.request_play(now, face.PlayRequest(f[1], f[3], f[4], f[5], f[8], f[7], f[2] / 1000 if f[10] & HINTED else None,
                                                         f[11] / 1000))
        if code == codec.INHERITED:
            return c.take_over_play(now, face.PlayRequest(f[1], f[2], f[5], f[8], f[9], f[10],
                                                             f[7] / 1000 if f[11] & HINTED else None, f[6] / 1000), f[12])
        if code == codec.STARTED:
            return c.play_started(now, f[1], f[2], f[3] / 1000, f[4])
        if code == codec.REPLY:
            return c.allocation_ended(now, f[1], f[6], OUTCOMES.get(f[5], face.ERROR), f[3], bool(f[2]), tail)
        if code == codec.INTERIM:
            return c.update_play(now, f[1], f[2], NOTES.get(f[3]), f[5])
        if code == codec.HANGUP:
            return c.viewer_left(now, f[1])
        if code == codec.ALARM:
            if self.wake is not None and now >= self.wake:   # an earlier, overtaken timer leaves it set
                self.wake = None
            return c.wake(now)
        if code == codec.REGISTRY:
            if f[1] == FORM_FAILED:
                return c.fleet_list_failed(now)
            lines = [face.NodeEntry(e[6], e[0], e[1], STATES.get(e[2], face.GONE), e[3] / 1000, e[4], e[5], e[6])
                     for e in pages.get(f[3], ())]
            return c.update_fleet(now, lines, f[1] != FORM_DELTA)
        if code == codec.ECHO:
            return c.probe_ended(now, f[1], OUTCOMES.get(f[3], face.ERROR), f[2] / 1000, tail)
        if code == codec.MAIL:
            try:
                return c.receive_peer_report(now, f[1], *peer_messages.unpack(tail))
            except peer_messages.MalformedMessage as error:
                print(f"laddergw: instance {self.number}: mail of {f[1]}: {error}", file=sys.stderr)
        return [], None


@contextlib.contextmanager
def telling(key, hosted, dead, out):
    """The wire asks for an instance's failure to be told, whatever it is; the others go on."""
    try:
        yield
    except Exception as error:
        hosted.pop(key, None)
        if key not in dead:
            dead.add(key)
            print(f"laddergw: instance {key}: {type(error).__name__}: {error}", file=sys.stderr)
            if not isinstance(error, settings.SettingError):
                traceback.print_exc()
            out.append(codec.text_action(codec.BAIL_OUT, key, f"{type(error).__name__}: {error}"))


def serve(stdin, stdout):
    pages, hosted, dead, offset = {}, {}, set(), 0
    while (batch := codec.read_batch(stdin, offset)) is not None:
        number, clock, events, size = batch
        offset += size
        now, out, touched = clock / 1000, [], {}
        for code, f, tail in events:
            if code == codec.PAGE:
                pages[f[0]] = tail
                continue
            key = f[0]
            if code == codec.KILLED:
                hosted.pop(key, None)
                touched.pop(key, None)
                continue
            with telling(key, hosted, dead, out):
                if code == codec.POWER_ON:
                    dead.discard(key)
                    hosted.pop(key, None)
                    hosted[key] = Instance(key, f[1], tail.decode("utf-8", "replace"), now)
                elif key in hosted:
                    hosted[key].encode(now, hosted[key].event(code, f, tail, now, pages), out)
                    touched[key] = True
        for key in touched:
            with telling(key, hosted, dead, out):
                if key in hosted:
                    hosted[key].encode(now, hosted[key].controller.decide(now), out)
        stdout.write(codec.reply(number, b"".join(out)))
        stdout.flush()


def main():
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
