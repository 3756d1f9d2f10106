"""Disks written by three controllers of version eadcd3c are read as that version read them."""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest

from roselink.controller.storage import Storage
from tests.compatibility.values import plain_values

RECORDED = Path(__file__).parent / "recorded"
EXPECTED: dict[str, dict[str, Any]] = json.loads(
    (RECORDED / "disks.json").read_text(encoding="utf-8")
)


@pytest.mark.parametrize("controller", EXPECTED)
def test_disk_of_an_earlier_version_is_read(controller: str, tmp_path: Path) -> None:
    disk = tmp_path / "disk"
    shutil.copytree(RECORDED / "disks" / controller, disk)
    acceptor, state = Storage(str(disk)).load()
    assert plain_values(acceptor) == EXPECTED[controller]["votes"]
    assert plain_values(state) == EXPECTED[controller]["state"]
