"""Frames and tokens: malformed input is rejected with place and reason; valid input is decoded completely."""
import json
import math
import unittest

from hypothesis import given, settings, strategies as st

from laddergw.director import frames, tokens

KEYS = (("k2", b"second-key-of-the-test"), ("k1", b"first-key-of-the-test"))
JSON = st.recursive(st.none() | st.booleans() | st.integers(-2**60, 2**60) | st.floats() | st.text(max_size=8),
                    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3), max_leaves=8)
REQUEST = {"key": "v1", "product": "hearing", "title": 5, "home": 1, "copies": 3, "ceiling": 4, "length_ms": None,
           "wait_ms": 4000, "token": None, "unsettled_ms": 0}
ENTRY = {"node": 7, "cell": 1, "weight": 1.0, "state": "ready", "incarnation": 2, "age_ms": 5.0, "kind": 0, "zone": 0,
         "address": ["127.0.0.1", 99]}


def bytes_of(frame):
    """A frame as it is on the wire."""
    return json.dumps(frame).encode()


class Frames(unittest.TestCase):
    """Decoders of requests, list frames, notes and answers."""

    def test_a_request_is_decoded(self):
        read = frames.read_request(bytes_of(REQUEST))
        self.assertEqual((read.key, read.title, read.length_ms, read.wait_ms), ("v1", 5, None, 4000))

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(REQUEST)), JSON)
    def test_any_value_in_a_request_is_accepted_or_reported(self, key, value):
        try:
            read = frames.read_request(bytes_of({**REQUEST, key: value}))
        except frames.MalformedFrame as error:
            self.assertRegex(str(error), f"{key}|JSON")
        else:
            for number in read.title, read.home, read.copies, read.ceiling, read.wait_ms, read.unsettled_ms:
                self.assertTrue(math.isfinite(number) and number >= 0)

    @settings(max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(ENTRY)), JSON)
    def test_any_value_in_a_list_entry_is_accepted_or_reported(self, key, value):
        frame = {"form": "whole", "version": 3, "nodes": [ENTRY, {**ENTRY, "node": 8, key: value}]}
        try:
            form, version, entries = frames.read_list(bytes_of(frame))
        except frames.MalformedFrame as error:
            self.assertRegex(str(error), "node 1|JSON")
        else:
            self.assertTrue(all(math.isfinite(e.weight) and e.weight >= 0 for e in entries))
            self.assertEqual(len({e.node for e in entries}), 2)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=80) | JSON.map(bytes_of))
    def test_arbitrary_bytes_raise_only_malformed_frame(self, data):
        for read in frames.read_request, frames.read_list, frames.read_notes, frames.read_keep_answer, \
                lambda d: frames.read_set_up_answer(d, ("x0",)):
            try:
                read(data)
            except frames.MalformedFrame as error:
                self.assertTrue(str(error))

    def test_a_truncated_frame_is_rejected(self):
        whole = frames.list_frame(frames.WHOLE, 3, [frames.read_entry(ENTRY, "x")])
        self.assertEqual(frames.read_list(whole)[2][0].node, 7)
        for cut in range(len(whole) - 1):
            with self.assertRaises(frames.MalformedFrame):
                frames.read_list(whole[:cut])

    def test_invalid_values_of_a_report_are_infinite(self):
        report = frames.read_report({"report": {"x0": 0.5, "x1": "full", "x2": True}}, ("x0", "x1", "x2", "x3"), "answer")
        self.assertEqual(report, (0.5, math.inf, math.inf, math.inf))
        self.assertEqual(frames.read_report({}, ("x0",), "answer"), ())


class Tokens(unittest.TestCase):
    """Signed tokens of viewers."""

    def test_a_token_is_accepted_only_with_its_key_play_and_time(self):
        previous = tokens.PreviousAttempt("v1", 5_000.0, 3, True)
        for keys in KEYS, KEYS[::-1]:
            text = tokens.sign(keys, previous)
            self.assertEqual(tokens.read(KEYS, text, "v1", 9_000.0), previous)
        for change, reason in (((KEYS[1:], text[:0] + tokens.sign(KEYS, previous), "v1", 9_000.0), "unknown key"),
                               ((KEYS, text, "v2", 9_000.0), "another play"), ((KEYS, text, "v1", 9e9), "out of date"),
                               ((KEYS, text, "v1", -9e9), "out of date"), ((KEYS, "x", "v1", 9_000.0), "not a token")):
            with self.assertRaisesRegex(tokens.BadToken, reason):
                tokens.read(*change)

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 200), st.characters(codec="ascii"))
    def test_a_changed_token_is_never_read_as_another(self, at, char):
        previous = tokens.PreviousAttempt("v1", 5_000.0, 3, False)
        text = tokens.sign(KEYS, previous)
        at %= len(text)
        try:
            self.assertEqual(tokens.read(KEYS, text[:at] + char + text[at + 1:], "v1", 9_000.0), previous)
        except tokens.BadToken:
            pass


if __name__ == "__main__":
    unittest.main()
