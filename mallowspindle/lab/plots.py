"""Plots of a replay over time."""

from pathlib import Path

from matplotlib.figure import Figure

from mallowspindle.lab.replay import Replay

_SIZE_INCHES = (9, 9)


def plot_replay(result: Replay, title: str, path: Path) -> None:
    """Plot requests, time to first event, and servers with their cost."""
    figure = Figure(figsize=_SIZE_INCHES, layout='constrained')
    waiting, first, servers = figure.subplots(3, sharex=True)
    figure.suptitle(title)
    times = [sample.at_s for sample in result.samples]
    waiting.plot(times, [each.waiting for each in result.samples])
    waiting.plot(times, [each.running for each in result.samples])
    waiting.legend(['waiting', 'running'])
    waiting.set_ylabel('requests')
    ended = [each for each in result.results.request_results if each.completed]
    first.scatter(
        [each.sent_at_s for each in ended],
        [each.first_event_s for each in ended],
        s=3,
    )
    first.set_ylabel('s to first event')
    servers.plot(times, [each.servers for each in result.samples])
    costs = servers.twinx()
    costs.plot(times, [each.cost for each in result.samples], color='tab:red')
    servers.set_ylabel('servers')
    costs.set_ylabel('price so far')
    servers.set_xlabel('s')
    figure.savefig(path)
