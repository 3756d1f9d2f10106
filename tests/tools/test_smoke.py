"""Each benchmark runs at small sizes and prints its fitted lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools import (
    configurations,
    core,
    decider,
    host_list,
    pulls,
    quota_requests,
    streams,
)
from tools.measure import fit_line

if TYPE_CHECKING:
    from collections.abc import Callable

SMALL_RUNS: dict[str, tuple[Callable[[], object], tuple[str, ...]]] = {
    "decider": (
        lambda: decider.main((8, 16), requests=20, replacements=2, prompt_segments=4),
        ("request:", "replacement:", "memory:"),
    ),
    "pulls": (
        lambda: pulls.main((8, 16), gateways=(2, 3), cores=(1, 2), pulls=4, repetitions=1),
        ("tail:", "roster:", "decoded at a gateway:"),
    ),
    "quota_requests": (
        lambda: quota_requests.main(
            (2, 3), tenants=(2, 3), gateways=(2, 3), requests=4, duration_s=1.0
        ),
        ("decision:", "quota requests:", "new roster:"),
    ),
    "configurations": (
        lambda: configurations.main((1, 2), tenants=2, repetitions=1),
        ("validate:", "parse:", "route table:"),
    ),
    "streams": (lambda: streams.main((1, 2), reads=4), ("read:",)),
    "host_list": (lambda: host_list.main((8, 16), repetitions=1), ("pass:", "parsing:")),
    "core": (
        lambda: core.main(
            (1, 2), core_sizes=(2, 3), document_sizes=(10, 20), repetitions=2, saves=1
        ),
        ("confirm round:", "heartbeat:", "save:"),
    ),
}


@pytest.mark.parametrize("name", SMALL_RUNS)
def test_measurement_prints_its_fitted_lines(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    run, labels = SMALL_RUNS[name]
    run()
    printed = capsys.readouterr().out
    for label in labels:
        assert f"  {label} " in printed


def test_fit_rejects_points_with_equal_x() -> None:
    with pytest.raises(ValueError, match="different x values"):
        fit_line([(1, 2), (1, 3)])
