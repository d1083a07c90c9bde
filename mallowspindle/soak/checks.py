"""The promises of the operators' pages, checked on what was seen in a run.

A check is registered by a decorator with the rule's name and returns what broke
it, one line each::

    @check('TWICE')
    def ran_twice(seen: Observations) -> Iterator[str]:
        ...
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from mallowspindle.soak.callers import REPEATABLE, STREAMS
from mallowspindle.soak.records import PROMISES, Observations, Run, Try
from mallowspindle.soak.sums import worst_windows
from mallowspindle.soak.world import EVENTS

# Bounds of the operators' pages.
_MAX_MIXED_STREAMS = 2
_MAX_REQUESTS_OVER_ATTEMPTS = 3
_MAX_ATTEMPTS = 2
_DRAIN_S = 2.0
_CONTACT_S = 3.0
_LOSS_SLACK_S = 0.2
_ACCEPTED_S = 3.0
_GRACE_S = 8.0
_LAST_PART = 5 / 6
_SERVED_AGAIN = 0.9
# Statuses for requests that no configuration allows.
_DENIALS = frozenset((400, 401, 403, 404, 413, 431))
_OK = 200
_INTERNAL_ERROR = 500

Check = Callable[[Observations], Iterable[str]]
registry: dict[str, list[Check]] = defaultdict(list)


def check(rule: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check of a rule."""

    def decorate(function: Check) -> Check:
        registry[rule].append(function)
        return function

    return decorate


def broken_promises(seen: Observations) -> list[str]:
    """Return what broke a promise, each with its rule."""
    return [
        f'{rule}: {finding}'
        for rule, checks in sorted(registry.items())
        for finding in chain.from_iterable(each(seen) for each in checks)
    ]


def _begun_runs(seen: Observations) -> dict[str, list[Run]]:
    """Return the runs of each request that do not continue another one."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in seen.runs:
        if 'Kv-From' not in run.headers:
            runs[run.request_id].append(run)
    return runs


def _all_tries(seen: Observations) -> list[Try]:
    return [*seen.tries, *seen.last_tries]


@check('TWICE')
def ran_twice(seen: Observations) -> Iterator[str]:
    """A request that isn't idempotent runs more than once."""
    runs = _begun_runs(seen)
    for attempt in _all_tries(seen):
        found = runs[attempt.request_id]
        if attempt.kind not in REPEATABLE and len(found) > 1:
            servers = [run.server for run in found]
            yield f'{attempt.request_id} ran at {", ".join(servers)}'


@check('REFUSED')
def ran_after_a_promise(seen: Observations) -> Iterator[str]:
    """A request that isn't idempotent has run in spite of a promise."""
    runs = _begun_runs(seen)
    for attempt in _all_tries(seen):
        is_refused = attempt.status in PROMISES
        found = runs[attempt.request_id]
        if attempt.kind not in REPEATABLE and is_refused and found:
            yield (
                f'{attempt.request_id} was answered {attempt.status} by '
                f'{attempt.node} and ran at {found[0].server}'
            )


@check('ORDER')
def mixed_versions(seen: Observations) -> Iterator[str]:
    """Streams hold events from servers of several software versions."""
    received = {each.stream for each in _all_tries(seen) if each.text}
    mixed = [stream for stream in sorted(received) if _joined(seen, stream)]
    if len(mixed) > _MAX_MIXED_STREAMS:
        yield f'{len(mixed)} streams of two versions: {", ".join(mixed[:5])}'


def _joined(seen: Observations, stream: str) -> bool:
    """Return whether a stream went on after its first event."""
    runs = [
        run
        for run in seen.runs
        if stream in {run.request_id, run.headers.get('Resumes')}
    ]
    resumed = {
        run.version for run in runs if _last_event(run.headers) is not None
    }
    begun = {run.version for run in runs if _last_event(run.headers) is None}
    return bool(begun and resumed - begun)


def _last_event(headers: dict[str, str]) -> str | None:
    found = (
        text
        for name, text in headers.items()
        if name.lower() == 'last-event-id'
    )
    return next(found, None)


@check('ORDER')
def wrong_order(seen: Observations) -> Iterator[str]:
    """Events are missing, come twice, or end before the last one."""
    streams = (
        attempt
        for attempt in _all_tries(seen)
        if attempt.kind in STREAMS and attempt.status == _OK
    )
    for attempt in streams:
        found = _event_numbers(attempt.text)
        last = attempt.last_event + len(found)
        if found != list(map(str, range(attempt.last_event + 1, last + 1))):
            yield f'{attempt.request_id} has the events {" ".join(found)}'
        elif attempt.is_whole and last != EVENTS:
            yield f'{attempt.request_id} seems whole after event {last}'


def _event_numbers(text: str) -> list[str]:
    lines = text.splitlines()
    return [line[4:] for line in lines if line.startswith('id: ')]


@check('ONE')
def reported_twice(seen: Observations) -> Iterator[str]:
    """The platform accepts several counts of one window."""
    counts: dict[int, set[str]] = defaultdict(set)
    holders: dict[tuple[str, int], set[str]] = defaultdict(set)
    for call in seen.duty_calls:
        holders[call['duty'], call['token']].add(call['holder'])
        if call['duty'] == 'usage':
            body = call['body']
            counts[body['window_id']].add(str(sorted(body['counts'].items())))
    for window, found in counts.items():
        if len(found) > 1:
            yield f'window {window} has {" and ".join(sorted(found))}'
    for (duty, token), names in holders.items():
        if len(names) > 1:
            yield f'{", ".join(sorted(names))} used {token} for {duty}'


@check('LOST')
def dropped_by_planned_work(seen: Observations) -> Iterator[str]:
    """A request that was read gets no answer at all."""
    if not seen.only_planned:
        return
    for attempt in _all_tries(seen):
        waited_s = seen.waited_s(attempt)
        if attempt.status == 0 and waited_s > _LOSS_SLACK_S:
            yield (
                f'{attempt.request_id} got no answer from {attempt.node} after '
                f'{waited_s:.2f} s'
            )


@check('LOST')
def cut_by_planned_work(seen: Observations) -> Iterator[str]:
    """An answer that has begun is cut."""
    if not seen.only_planned:
        return
    for attempt in _all_tries(seen):
        is_cut = attempt.status == _OK and not attempt.is_whole
        if is_cut and not _lasted_too_long(seen, attempt):
            yield f'{attempt.request_id} was cut by {attempt.node}'


def _lasted_too_long(seen: Observations, attempt: Try) -> bool:
    """Return whether a server was at work until shortly before the kill.

    The pages excuse that if the request was sent early enough after SIGTERM.
    """
    return any(
        attempt.sent_at_s - stopped_at_s <= _ACCEPTED_S
        and attempt.ended_at_s - stopped_at_s >= _GRACE_S * _LAST_PART
        for stopped_at_s in seen.stopped_at_s.get(attempt.node, ())
    )


@check('BUDGET')
def more_attempts_than_allowed(seen: Observations) -> Iterator[str]:
    """Requests run at more servers than their route allows."""
    over = [
        request_id
        for request_id, runs in _begun_runs(seen).items()
        if len({run.server for run in runs}) > _MAX_ATTEMPTS
    ]
    if len(over) > _MAX_REQUESTS_OVER_ATTEMPTS:
        yield f'{len(over)} requests ran at three servers: {", ".join(over[:5])}'


@check('BUDGET')
def more_repeats_than_allowed(seen: Observations) -> Iterator[str]:
    """A service gets too many arrivals beyond the first of each request."""
    for window in worst_windows(seen):
        if window.excess > 0:
            yield (
                f'{window.service} got {window.repeats} repeats of '
                f'{window.allowed:.0f} allowed in {seen.retry_bounds.window_s} '
                f's, {window.continued} of them continued'
            )


@check('DENIED')
def denied(seen: Observations) -> Iterator[str]:
    """A proper request is denied."""
    for attempt in _all_tries(seen):
        if attempt.status in _DENIALS:
            yield f'{attempt.request_id} got {attempt.status} at {attempt.node}'


@check('CONFIG')
def denied_by_an_older_version(seen: Observations) -> Iterator[str]:
    """A node in touch denies a route after it has to be in force."""
    for attempt in seen.route_tries:
        troubled_at_s = seen.troubled_at_s.get(attempt.node, -_CONTACT_S)
        in_touch = troubled_at_s <= attempt.sent_at_s - _CONTACT_S
        if attempt.status in _DENIALS and in_touch:
            yield (
                f'{attempt.request_id} for a new route got {attempt.status} '
                f'at {attempt.node}'
            )


@check('DRAIN')
def sent_to_leaving_servers(seen: Observations) -> Iterator[str]:
    """A request reaches a server too late after its entry was removed."""
    nodes = {each.request_id: each for each in _all_tries(seen)}
    for run in seen.runs:
        left_at_s = seen.left_at_s.get(run.server)
        attempt = nodes.get(run.request_id)
        if left_at_s is None or attempt is None or 'Kv-From' in run.headers:
            continue
        troubled_at_s = seen.troubled_at_s.get(attempt.node, 0)
        in_touch = run.began_at_s - troubled_at_s > _CONTACT_S
        if in_touch and attempt.sent_at_s > left_at_s + _DRAIN_S:
            late_s = attempt.sent_at_s - left_at_s
            yield (
                f'{run.request_id} reached {run.server} from {attempt.node} '
                f'{late_s:.2f} s after it left'
            )


@check('FAULT')
def failed_inside(seen: Observations) -> Iterator[str]:
    """A node fails with an error that it does not expect, or ends."""
    runs = _begun_runs(seen)
    for name in seen.ended_by_themselves:
        yield f'{name} has ended by itself'
    for attempt in _all_tries(seen):
        is_own = not runs[attempt.request_id]
        if attempt.status == _INTERNAL_ERROR and is_own:
            yield f'{attempt.request_id} got 500 at {attempt.node}, not run'


@check('RECOVER')
def not_served_again(seen: Observations) -> Iterator[str]:
    """After the last disturbance, fewer requests are served than before."""
    for kind in sorted({each.kind for each in seen.last_tries}):
        tries = [each for each in seen.last_tries if each.kind == kind]
        served = sum(each.is_whole for each in tries)
        if served < _SERVED_AGAIN * len(tries):
            statuses = Counter(each.status for each in tries)
            yield f'{served} of {len(tries)} {kind} are served: {dict(statuses)}'
