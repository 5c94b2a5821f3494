"""laddergw manifest: shows, checks and stitches playlists from files."""
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help="Playlists: show, check, stitch, and a fuzzer over their reader.")
EXIT_BAD = 2
File = Annotated[Path, typer.Argument(help="a playlist's file")]


def load(file: Path):
    from laddergw.hls.reading import InvalidPlaylist, read
    try:
        return read(file.read_bytes())
    except OSError as error:
        typer.echo(f"{file}: {error.strerror}", err=True)
    except InvalidPlaylist as error:
        for line, reason in error.faults:
            typer.echo(f"{file}:{line}: {reason}", err=True)
    raise typer.Exit(EXIT_BAD)


@app.command()
def show(file: File) -> None:
    """What a playlist holds, a line a segment with its number, time and cuts."""
    from laddergw.hls.stitching import Outline, item_marks
    from laddergw.hls.values import Media, time_text
    playlist = load(file)
    if not isinstance(playlist, Media):
        for variant in playlist.variants:
            typer.echo(f"{variant.bandwidth / 1000:10.0f} kbit/s  {variant.uri}")
        return
    items = {place: found.get("NAME") for place, found in item_marks(playlist)}
    typer.echo(f"{len(playlist.segments)} segments from {playlist.sequence}, {sum(s.duration_ms for s in playlist.segments) / 1000:.3f} s, "
               f"target {playlist.target_ms / 1000:g} s, {'ended' if playlist.ended else 'grows'}")
    at = 0.0
    for place, (segment, clock) in enumerate(zip(playlist.segments, Outline(playlist).programme_times)):
        told = ["cut"] * segment.discontinuity + ([f"item {items[place]}"] if place in items else []) + ["keys"] * bool(segment.keys) + ["map"] * bool(segment.map)
        typer.echo(f"{playlist.sequence + place:6} {at / 1000:10.3f} {time_text(clock) if clock is not None else '-':24} "
                   f"{segment.duration_ms / 1000:8.3f} {segment.uri[:60]} {', '.join(told)}".rstrip())
        at += segment.duration_ms


@app.command()
def check(files: Annotated[list[Path], typer.Argument(help="playlists; of one session in order of their reloads with --reloads")],
          reloads: Annotated[bool, typer.Option(help="judge the files as reloads of one session")] = False) -> None:
    """Reads playlists and judges their continuity. Ends with 2 where one cannot be read, with 1 where it has a timing fault."""
    from laddergw.hls.values import Media
    from laddergw.lab.continuity_audit import Judge
    judge, bad = Judge(), 0
    for file in files:
        playlist = load(file)
        judge = judge if reloads else Judge()
        faults = judge.reload(playlist) if isinstance(playlist, Media) else []
        for fault in faults:
            typer.echo(f"{file}: segment {fault.number}: {fault.kind}: {fault.what}", err=True)
        bad += len(faults)
        if not faults:
            typer.echo(f"{file}: good")
    raise typer.Exit(1 if bad else 0)


@app.command()
def fuzz(seed: Annotated[int, typer.Option(help="draws the texts")] = 1, seconds: Annotated[float, typer.Option(help="for so long")] = 60.0) -> None:
    """Bends playlists out of shape and checks what the reader makes of them. Ends with 1 where something does not hold."""
    from laddergw.lab import fuzz as lab
    tally = lab.run(seed, seconds=seconds)
    for what, text in tally.found[:10]:
        typer.echo(f"{what}\n{text!r}", err=True)
    typer.echo(f"texts {tally.texts} taken {tally.taken} refused {tally.refused} stitched {tally.stitched} slowest {tally.slowest_ms:.1f} ms found {len(tally.found)}")
    raise typer.Exit(1 if tally.found else 0)


@app.command()
def stitch(file: File, rules: Annotated[Path, typer.Option(help="programme rules; items' playlists lie beside them")],
           product: Annotated[str, typer.Option()] = "", route: Annotated[str, typer.Option()] = "/",
           at: Annotated[str, typer.Option(help="the time at which rules are looked up; now where left out")] = "") -> None:
    """Writes the playlist that a session would get, and on standard error which rule put what where."""
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
        raise typer.Exit(EXIT_BAD)
    try:
        programme = read(rules.read_text(), rules.name)
        now = time_ms(at) if at else time.time() * 1000
        placed = schedule(source, RuleIndex(programme.rules).find(route, product, now), programme)
        items = {one.item: Item(one.item, load(rules.parent / programme.pieces[one.item].playlist)) for one in placed}
        out = stitched(source, [Insertion(source.sequence + one.before_segment, items[one.item], one.before_segment < len(source.segments)
                                          and source.segments[one.before_segment].discontinuity) for one in placed])
    except (OSError, FileRejected, StitchingError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD) from None
    for one in placed:
        typer.echo(f"{one.at_ms / 1000:.3f} s: {one.item} by rule {one.rule.name}", err=True)
    typer.echo(write(out), nl=False)
