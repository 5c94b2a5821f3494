"""Writes playlists as text. Where a value was read from a playlist, its original text is written: read(write(x)) = x."""
import math

from laddergw.hls.values import Media, Multivariant, Playlist, Segment, seconds_text, time_text


def write(playlist: Playlist) -> str:
    """Returns the playlist's text; each line ends with a line feed."""
    lines = ["#EXTM3U"]
    if playlist.version is not None:
        lines.append(f"#EXT-X-VERSION:{playlist.version}")
    if playlist.independent_segments:
        lines.append("#EXT-X-INDEPENDENT-SEGMENTS")
    if isinstance(playlist, Media):
        write_media_head(playlist, lines)
        for segment in playlist.segments:
            lines.append(segment_text(segment))
        lines.extend(playlist.trailing_lines)
        if playlist.ended:
            lines.append("#EXT-X-ENDLIST")
    else:
        write_multivariant(playlist, lines)
        lines.extend(playlist.trailing_lines)
    lines.append("")
    return "\n".join(lines)


def write_media_head(media: Media, lines: list[str]) -> None:
    """Appends the tags of a media playlist before its segments, after version and independence."""
    lines.append(f"#EXT-X-TARGETDURATION:{math.ceil(media.target_ms / 1000)}")
    if media.sequence:
        lines.append(f"#EXT-X-MEDIA-SEQUENCE:{media.sequence}")
    if media.discontinuity_sequence:
        lines.append(f"#EXT-X-DISCONTINUITY-SEQUENCE:{media.discontinuity_sequence}")
    if media.playlist_type is not None:
        lines.append(f"#EXT-X-PLAYLIST-TYPE:{media.playlist_type}")
    if media.server_control is not None:
        lines.append(f"#EXT-X-SERVER-CONTROL:{media.server_control.write()}")


def segment_text(segment: Segment) -> str:
    """Returns the lines of one segment, its URI last, without a line feed at the end."""
    lines = list(segment.unknown_lines)
    if segment.discontinuity:
        lines.append("#EXT-X-DISCONTINUITY")
    lines.extend(f"#EXT-X-KEY:{key.write()}" for key in segment.keys)
    if segment.map is not None:
        lines.append(f"#EXT-X-MAP:{segment.map.write()}")
    if segment.time_ms is not None:
        lines.append(f"#EXT-X-PROGRAM-DATE-TIME:{segment.time_text or time_text(segment.time_ms)}")
    lines.extend(f"#EXT-X-DATERANGE:{date_range.write()}" for date_range in segment.date_ranges)
    if segment.gap:
        lines.append("#EXT-X-GAP")
    if segment.byte_range is not None:
        lines.append(f"#EXT-X-BYTERANGE:{segment.byte_range}")
    lines.append(f"#EXTINF:{segment.duration_text or seconds_text(segment.duration_ms)},{segment.title}")
    lines.append(segment.uri)
    return "\n".join(lines)


def write_multivariant(playlist: Multivariant, lines: list[str]) -> None:
    """Appends the head's tags and the variants."""
    lines.extend(f"#{tag}:{attributes.write()}" for tag, attributes in playlist.head_tags)
    for variant in playlist.variants:
        lines.extend(variant.unknown_lines)
        lines.append(f"#EXT-X-STREAM-INF:{variant.attributes.write()}")
        lines.append(variant.uri)
