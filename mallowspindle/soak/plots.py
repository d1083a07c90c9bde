"""Plot of a run over time."""

import json
from collections import Counter
from pathlib import Path

from matplotlib.figure import Figure

from mallowspindle.soak.playing import Result

_SIZE_INCHES = (10, 5)


def plot(folder: Path, result: Result, path: Path) -> None:
    """Plot the answers of each second by status, and the disturbances."""
    text = (folder / 'tries.jsonl').read_text()
    tries = list(map(json.loads, text.splitlines()))
    began_at_s = min(each['sent_at_s'] for each in tries)
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    axes = figure.subplots()
    axes.set_title(f'seed {result.seed}: {"; ".join(result.broken) or "held"}')
    for status in sorted({each['status'] for each in tries}):
        counts = Counter(
            int(each['sent_at_s'] - began_at_s)
            for each in tries
            if each['status'] == status
        )
        axes.plot(
            *zip(*sorted(counts.items()), strict=True),
            label=str(status or 'no answer'),
        )
    for entry in result.entries:
        axes.axvline(entry['at_s'], linestyle='dotted')
        axes.text(entry['at_s'], 1, entry['name'], rotation=90)
    axes.set_xlabel('seconds')
    axes.set_ylabel('requests')
    axes.legend()
    figure.savefig(path)
