"""Session descriptions (RFC 4566, as far as the platform writes them): lines, of which each `m=`
line describes one stream.

Descriptions are passed on unchanged; they are examined only for signs of truncation. No I/O.
"""

LINE_END = b"\n"
MEDIA = b"m="


def count_media_lines(description: bytes) -> int:
    """Returns how many streams a description describes."""
    return sum(line.startswith(MEDIA) for line in description.split(LINE_END))


def may_be_truncated(answer: bytes, offer: bytes) -> bool:
    """Returns whether an answer may lack its end.

    That is so where it stops within a line, or describes fewer streams than the offer: an answer
    has as many `m=` lines as its offer (RFC 3264, section 6).
    """
    return not answer.endswith(LINE_END) or count_media_lines(answer) < count_media_lines(offer)
