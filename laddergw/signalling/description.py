"""Session descriptions (RFC 4566, as far as the platform writes them): lines, of which each `m=`
line describes one stream.

Descriptions pass on unchanged; what is looked at here is only whether one may have been cut short.
No I/O.
"""

LINE_END = b"\n"
MEDIA = b"m="


def count_media_lines(description: bytes) -> int:
    """How many streams a description describes."""
    return sum(line.startswith(MEDIA) for line in description.split(LINE_END))


def may_be_truncated(answer: bytes, offer: bytes) -> bool:
    """Whether an answer may lack its end: it stops within a line, or describes fewer streams than
    the offer (RFC 3264, section 6:
    an answer has as many `m=` lines as its offer)."""
    return not answer.endswith(LINE_END) or count_media_lines(answer) < count_media_lines(offer)
