"""Media that a node's stand-in serves besides plays: playlists of titles in several rungs, of items, and their segments."""
from functools import lru_cache
from zlib import crc32

SEGMENT_LENGTHS_MS = (4_004.0, 6_000.0, 2_002.0, 5_500.0)    # a title's segments have one of these lengths; the last one differs
PROGRAMME_START = "2026-12-01T10:00:00.000Z"
SEGMENT_BYTES = 188        # one transport packet serves as a segment
ITEM_KB = 400.0            # kB a second that an item's segment represents
ITEM_MS = 3_000.0          # length of each of an item's segments


def draw(*labels) -> float:
    """A number from 0 to below 1 that depends only on the labels."""
    return crc32(repr(labels).encode()) / 2 ** 32


@lru_cache(maxsize=512)
def title_playlist(title: int, rung: int) -> bytes:
    """A title's playlist: 8 to 40 segments, the same in all rungs; two titles of three have programme time."""
    count, segment_ms = 8 + int(32 * draw("count", title)), SEGMENT_LENGTHS_MS[title % len(SEGMENT_LENGTHS_MS)]
    lines = ["#EXTM3U", "#EXT-X-VERSION:6", "#EXT-X-TARGETDURATION:6", "#EXT-X-PLAYLIST-TYPE:VOD"]
    for number in range(count):
        if number == 0 and title % 3:
            lines.append(f"#EXT-X-PROGRAM-DATE-TIME:{PROGRAMME_START}")
        length = segment_ms if number < count - 1 else 1_234.5
        lines += [f"#EXTINF:{length / 1000:g},", f"{rung}/{number}.ts"]
    return ("\n".join(lines + ["#EXT-X-ENDLIST"]) + "\n").encode()


@lru_cache(maxsize=512)
def item_playlist(name: str) -> bytes:
    """An item's playlist: two to four segments of three seconds."""
    count = 2 + crc32(name.encode()) % 3
    lines = ["#EXTM3U", "#EXT-X-VERSION:6", "#EXT-X-TARGETDURATION:3"]
    for number in range(count):
        lines += ["#EXTINF:3,", f"{name}/{number}.ts"]
    return ("\n".join(lines + ["#EXT-X-ENDLIST"]) + "\n").encode()


def serve(path: str) -> tuple[int, bytes, str]:
    """Status, body and content type of the answer to a GET."""
    parts = path.strip("/").split("/")
    if parts[:2] == ["v1", "titles"] and len(parts) == 4 and parts[3].endswith(".m3u8"):
        return 200, title_playlist(int(parts[2]), int(parts[3][:-5])), "application/vnd.apple.mpegurl"
    if parts[:2] == ["v1", "items"] and parts[-1].endswith(".m3u8"):
        return 200, item_playlist(parts[-1][:-5]), "application/vnd.apple.mpegurl"
    if parts[:2] in (["v1", "media"], ["v1", "items"]) and parts[-1].endswith(".ts"):
        return 200, b"G" * SEGMENT_BYTES, "video/mp2t"
    return 404, b'{"error": "no such page"}', "application/json"
