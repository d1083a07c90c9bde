"""Images of a replay over the day."""

from pathlib import Path

from matplotlib.figure import Figure

from mallowspindle.lab.replay import Replay

_SIZE_INCHES = (9, 9)


def plot_day(played: Replay, title: str, path: Path) -> None:
    """Write waiting, time to first event, and servers with their price."""
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    waiting, first, servers = figure.subplots(3, sharex=True)
    figure.suptitle(title)
    times = [sample.at_s for sample in played.samples]
    waiting.plot(times, [each.waiting for each in played.samples])
    waiting.plot(times, [each.running for each in played.samples])
    waiting.legend(['waiting', 'running'])
    waiting.set_ylabel('requests')
    ended = [each for each in played.results.request_results if each.whole]
    first.scatter(
        [each.began_at_s for each in ended],
        [each.first_event_s for each in ended],
        s=3,
    )
    first.set_ylabel('s to first event')
    servers.plot(times, [each.servers for each in played.samples])
    priced = servers.twinx()
    priced.plot(times, [each.price for each in played.samples], color='tab:red')
    servers.set_ylabel('servers')
    priced.set_ylabel('price so far')
    servers.set_xlabel('s')
    figure.savefig(path)
