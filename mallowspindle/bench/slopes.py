"""``make slopes``: bytes, processor time and memory per unit of work.

Each cost per unit (slope) is measured at several sizes; ``docs/CAPACITY.md``
multiplies it by the sizes that the system is designed for.
"""

import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any

from mallowspindle.attempts.request import (
    AttemptInfo,
    CostSegment,
    GenerationRequest,
    OwnedRequest,
    Progress,
    RequestKind,
)
from mallowspindle.bench.caller import chat_body
from mallowspindle.bench.daemons import measure_processes
from mallowspindle.bench.table import print_header, print_row
from mallowspindle.effects.records import (
    CallKey,
    CallOutcome,
    Claim,
    effects_codec,
)
from mallowspindle.effects.table import KeyTable
from mallowspindle.membership.messages import Heartbeat, MemberInfo
from mallowspindle.peers.codec import peer_codec
from mallowspindle.recovery.messages import ProgressBatch, ProgressItem
from mallowspindle.settings.records import Change, settings_codec
from mallowspindle.settings.tree import NEVER_SET, SettingsTree

_MICRO = 1e6
_ROUNDS = 5
_CALLS = 200
_ORGANISATION = 'farm'
_DOCUMENT = '[limits]\nrequests_per_s = {0}\n'


def micros_per_call(work: Callable[[], Any]) -> float:
    """Return the median processor time of a call in microseconds."""
    samples = []
    for _ in range(_ROUNDS):
        started_s = time.process_time()
        for _ in range(_CALLS):
            work()
        samples.append((time.process_time() - started_s) / _CALLS)
    return statistics.median(samples) * _MICRO


def round_trip_micros(message: object) -> float:
    """Return the processor time to encode and decode, in microseconds."""
    encoded = peer_codec.encode(message)
    return micros_per_call(
        partial(peer_codec.encode, message)
    ) + micros_per_call(partial(peer_codec.decode, encoded))


def member(number: int) -> MemberInfo:
    """Return a member with values of realistic length."""
    return MemberInfo(
        name=f'entry-{number:04}',
        region='se-mitt',
        zone='se-mitt-a',
        peer_address='10.20.30.40:7001',
        http_address='10.20.30.40:8001',
        incarnation=1_790_000_000_000,
        beat=number,
        settings_through=100_000,
        in_progress=12,
    )


def measure_heartbeats() -> None:
    """Measure a heartbeat by the number of members that it lists."""
    for size in (0, 8, 32):
        members = [member(index) for index in range(size)]
        heartbeat = Heartbeat(member(0), members=members)
        encoded = peer_codec.encode(heartbeat)
        print_row('heartbeat: bytes', size, len(encoded), 'B')
        print_row(
            'heartbeat: encode and decode',
            size,
            round_trip_micros(heartbeat),
            'us',
        )


def measure_claims() -> None:
    """Measure a claim and its outcome by the number of records in a batch."""
    for size in (1, 10, 50):
        records = [
            record
            for index in range(size)
            for record in _claim_and_outcome(index)
        ]
        payload = effects_codec.encode_all(records)
        print_row(
            'claim and outcome: bytes', size, len(payload) / size, 'B each'
        )
        table = KeyTable(1000)

        def fold(batch: bytes = payload, key_table: KeyTable = table) -> None:
            for record in effects_codec.decode_all(batch):
                key_table.fold(0, record)

        print_row(
            'claim and outcome: decode and fold',
            size,
            micros_per_call(fold) / size,
            'us each',
        )


def measure_settings() -> None:
    """Measure a settings change by the number of documents in the tree."""
    for size in (10, 100, 1000):
        tree = SettingsTree()
        for index in range(size):
            added = Change(f'c{index}', f'v/p/{index}', '', NEVER_SET, 'a', 0)
            tree.fold(index, added)
        change = partial(_change_settings, tree)
        print_row('settings change: fold', size, micros_per_call(change), 'us')
        snapshot = settings_codec.encode(tree.snapshot())
        print_row(
            'settings snapshot: bytes', size, len(snapshot) / size, 'B/doc'
        )


def measure_progress() -> None:
    """Measure the message that copies tokens by the tokens in a batch."""
    for size in (1, 16, 64):
        batch = ProgressBatch(
            [
                ProgressItem(f'req-{index:036}', 0, 100, ['token '])
                for index in range(size)
            ]
        )
        encoded = peer_codec.encode(batch)
        print_row('copied token: bytes', size, len(encoded) / size, 'B each')
        print_row(
            'copied token: encode and decode',
            size,
            round_trip_micros(batch) / size,
            'us each',
        )


def measure_held_requests() -> None:
    """Measure the memory of a request and its answer by answer tokens."""
    for tokens in (10, 300, 1000):
        count = 200
        gc.collect()
        tracemalloc.start()
        owned_requests = [
            _make_owned_request(number, tokens) for number in range(count)
        ]
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print_row(
            'request held: memory',
            tokens,
            used_bytes / len(owned_requests),
            'B each',
        )
    print_row(
        'request: life cycle object',
        1,
        micros_per_call(lambda: _make_owned_request(0, 0)),
        'us each',
    )


def _change_settings(tree: SettingsTree) -> None:
    base = tree.path_version('v/p/0')
    number = tree.through + 1
    document = _DOCUMENT.format(number)
    tree.fold(number, Change(f'c{number}', 'v/p/0', document, base, 'anna', 0))


def _claim_and_outcome(index: int) -> tuple[Claim, CallOutcome]:
    key = CallKey('haulier', 'claims', f'claim-2026-{index:08}')
    claim_id = f'claim-{index:036}'
    claim = Claim(key, claim_id, 'entry-0001/1790000000000', time.time())
    body = b'{"filed": 1, "path": "submit"}'
    outcome = CallOutcome(key, claim_id, 200, 'application/json', body)
    return claim, outcome


def _make_owned_request(number: int, tokens: int) -> OwnedRequest:
    request = GenerationRequest(
        request_id=f'req-{number:036}',
        organisation='farm',
        organisation_path='venture/north/farm',
        model='letters',
        kind=RequestKind.CHAT,
        body=chat_body(f'{number} ' * 500, tokens),
        max_tokens=tokens,
        priority=0,
        accepted_at_s=time.time(),
    )
    attempt = AttemptInfo(
        f'attempt-{number:036}',
        'engine-1',
        '10.20.30.40:8000',
        0,
        2_000_000_000,
        20_000,
        False,
        500,
        0,
        {'north': '60', 'south': '40'},
        [CostSegment(0, 1, {'north': '60', 'south': '40'})],
    )
    words = [f'w{number}-{index} ' for index in range(tokens)]
    return OwnedRequest(request, 0, Progress(words, [attempt]))


def main() -> None:
    """Measure and print the cost per unit of all kinds of work."""
    print_header()
    measure_heartbeats()
    measure_claims()
    measure_settings()
    measure_progress()
    measure_held_requests()
    asyncio.run(measure_processes())


if __name__ == '__main__':
    main()
