"""Limits of organisations, counting the usage that peers report."""

import time

from mallowspindle.entry.limits import OrganisationLimits
from mallowspindle.membership.messages import UsageReport
from mallowspindle.membership.usage import UsageTable
from mallowspindle.settings import document
from mallowspindle.settings.documents import Organisation


def _organisation(**limits: float) -> Organisation:
    return Organisation(
        'farm',
        'v/p/farm',
        document.AccessSection.model_validate({}),
        document.LimitsSection.model_validate(limits),
        document.AccountingSection.model_validate({}),
        1,
    )


def test_own_requests_count_towards_the_limit() -> None:
    limits = OrganisationLimits('a', UsageTable())
    farm = _organisation(requests_in_progress=1)
    assert limits.refusal(farm, set()) is None
    with limits.track_request('farm'):
        refusal = limits.refusal(farm, set())
        assert refusal is not None
        assert refusal.retry_after_s > 0
    assert limits.refusal(farm, set()) is None


def test_reports_of_live_peers_count_towards_limits() -> None:
    usage = UsageTable()
    limits = OrganisationLimits('a', usage)
    farm = _organisation(requests_in_progress=3, requests_per_s=9)
    usage.replace_reports('b', [UsageReport('b', 'farm', 2, 3)])
    assert limits.refusal(farm, {'b'}) is not None
    assert limits.refusal(farm, set()) is None
    usage.replace_reports('b', [UsageReport('b', 'farm', 9, 0)])
    assert limits.refusal(farm, {'b'}) is not None
    usage.replace_reports('b', [UsageReport('b', 'other', 9, 9)])
    assert limits.refusal(farm, {'b'}) is None


def test_organisation_without_limits_is_never_refused() -> None:
    limits = OrganisationLimits('a', UsageTable())
    with limits.track_request('farm'), limits.track_request('farm'):
        assert limits.refusal(_organisation(), set()) is None


def test_reported_rate_decays_without_new_requests() -> None:
    usage = UsageTable()
    limits = OrganisationLimits('a', usage)
    with limits.track_request('farm'):
        assert usage.own == [UsageReport('a', 'farm', 1, 1)]
    assert usage.own == [UsageReport('a', 'farm', 1, 0)]
    limits._admission_times['farm'][0] = time.monotonic() - 2
    assert usage.own == []
