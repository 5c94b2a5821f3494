"""laddergw manifest: shows, checks, stitches and fuzzes playlists."""
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="Playlists: show, check, stitch, and fuzz their parser.")
EXIT_REJECTED = 2
PlaylistArgument = Annotated[Path, typer.Argument(help="a playlist's file")]


def load(file: Path):
    """Reads a playlist. Exits the command if the file cannot be read or is no playlist."""
    from laddergw.hls.reading import InvalidPlaylist, read
    try:
        return read(file.read_bytes())
    except OSError as error:
        typer.echo(f"{file}: {error.strerror}", err=True)
    except InvalidPlaylist as error:
        for line, reason in error.faults:
            typer.echo(f"{file}:{line}: {reason}", err=True)
    raise typer.Exit(EXIT_REJECTED)


@app.command()
def show(file: PlaylistArgument) -> None:
    """Prints a playlist, a line a segment with its number, time and discontinuities."""
    from laddergw.hls.stitching import Outline, item_marks
    from laddergw.hls.values import Media, time_text
    playlist = load(file)
    if not isinstance(playlist, Media):
        for variant in playlist.variants:
            typer.echo(f"{variant.bandwidth / 1000:10.0f} kbit/s  {variant.uri}")
        return
    items = {index: found.get("NAME") for index, found in item_marks(playlist)}
    typer.echo(f"{len(playlist.segments)} segments from {playlist.sequence}, {sum(s.duration_ms for s in playlist.segments) / 1000:.3f} s, "
               f"target {playlist.target_ms / 1000:g} s, {'ended' if playlist.ended else 'grows'}")
    start_ms = 0.0
    for index, (segment, clock) in enumerate(zip(playlist.segments, Outline(playlist).programme_times)):
        marks = ["cut"] * segment.discontinuity + ([f"item {items[index]}"] if index in items else []) + ["keys"] * bool(segment.keys) + ["map"] * bool(segment.map)
        typer.echo(f"{playlist.sequence + index:6} {start_ms / 1000:10.3f} {time_text(clock) if clock is not None else '-':24} "
                   f"{segment.duration_ms / 1000:8.3f} {segment.uri[:60]} {', '.join(marks)}".rstrip())
        start_ms += segment.duration_ms


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="playlists; with --reloads those of one session, in the order of its reloads")],
          reloads: Annotated[bool, typer.Option(help="judge the files as reloads of one session")] = False) -> None:
    """Reads playlists and judges their continuity. Exits with 2 if one cannot be read, with 1 if one has a timing fault."""
    from laddergw.hls.values import Media
    from laddergw.lab.continuity_audit import Judge
    judge, fault_count = Judge(), 0
    for file in files:
        playlist = load(file)
        judge = judge if reloads else Judge()
        faults = judge.reload(playlist) if isinstance(playlist, Media) else []
        for fault in faults:
            typer.echo(f"{file}: segment {fault.number}: {fault.kind}: {fault.what}", err=True)
        fault_count += len(faults)
        if not faults:
            typer.echo(f"{file}: good")
    raise typer.Exit(1 if fault_count else 0)


@app.command()
def fuzz(seed: Annotated[int, typer.Option(help="seed of the drawn texts")] = 1, seconds: Annotated[float, typer.Option(help="how long to run")] = 60.0) -> None:
    """Mutates playlists and checks how the parser handles them. Exits with 1 if a check fails."""
    from laddergw.lab import fuzz as fuzzer
    summary = fuzzer.run(seed, seconds=seconds)
    for what, text in summary.found[:10]:
        typer.echo(f"{what}\n{text!r}", err=True)
    typer.echo(f"texts {summary.texts} taken {summary.taken} refused {summary.refused} stitched {summary.stitched} slowest {summary.slowest_ms:.1f} ms found {len(summary.found)}")
    raise typer.Exit(1 if summary.found else 0)


@app.command()
def stitch(file: PlaylistArgument, rules: Annotated[Path, typer.Option(help="programme rules; the items' playlists lie in the same folder")],
           product: Annotated[str, typer.Option()] = "", route: Annotated[str, typer.Option()] = "/",
           at: Annotated[str, typer.Option(help="the time at which rules are looked up; by default now")] = "") -> None:
    """Prints the playlist that a session would get, and on standard error which rule inserted which item where."""
    import time

    from laddergw.hls.stitching import Insertion, Item, StitchingError, stitch as stitched
    from laddergw.hls.values import Media, time_ms
    from laddergw.hls.writing import write
    from laddergw.programme.index import RuleIndex
    from laddergw.programme.rules import read
    from laddergw.programme.schedule import schedule
    from laddergw.terms.sexpr import FileRejected
    source = load(file)
    if not isinstance(source, Media):
        typer.echo(f"{file}: a multivariant playlist; stitch its media playlists", err=True)
        raise typer.Exit(EXIT_REJECTED)
    try:
        programme = read(rules.read_text(), rules.name)
        now = time_ms(at) if at else time.time() * 1000
        placed_items = schedule(source, RuleIndex(programme.rules).find(route, product, now), programme)
        items = {placed_item.item: Item(placed_item.item, load(rules.parent / programme.pieces[placed_item.item].playlist)) for placed_item in placed_items}
        result = stitched(source, [Insertion(source.sequence + placed_item.before_segment, items[placed_item.item], placed_item.before_segment < len(source.segments)
                                          and source.segments[placed_item.before_segment].discontinuity) for placed_item in placed_items])
    except (OSError, FileRejected, StitchingError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REJECTED) from None
    for placed_item in placed_items:
        typer.echo(f"{placed_item.at_ms / 1000:.3f} s: {placed_item.item} by rule {placed_item.rule.name}", err=True)
    typer.echo(write(result), nl=False)
