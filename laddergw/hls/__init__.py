"""HLS playlists as immutable values: parsed, validated, written and stitched. No I/O."""
