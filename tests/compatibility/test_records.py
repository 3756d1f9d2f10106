"""Records encoded by version eadcd3c: numbers, bytes and field order are the wire format.

`recorded/records.json` holds four samples of each record of that version: its number, the values of
its fields in order, and its bytes. Processes of that version and of this one are compatible only
while every sample decodes to the same values and encodes to the same bytes.
"""

from __future__ import annotations

import importlib
import json
import re
from pathlib import Path
from typing import Any

import pytest

import roselink
from roselink.protocol import records
from tests.compatibility.values import plain_values

PACKAGE = Path(roselink.__file__).parent
RECORDED = Path(__file__).parent / "recorded" / "records.json"
SAMPLES: list[dict[str, Any]] = json.loads(RECORDED.read_text(encoding="utf-8"))

# A record is registered when its module is imported. Modules without records are not imported,
# because some of the controller's import the reactor.
for path in sorted(PACKAGE.rglob("*.py")):
    if re.search(r"^@record\(\d", path.read_text(encoding="utf-8"), re.MULTILINE):
        module = ".".join(path.relative_to(PACKAGE.parent).with_suffix("").parts)
        importlib.import_module(module)


@pytest.mark.parametrize(
    "sample",
    SAMPLES,
    ids=[f"{sample['number']}-{index % 4}" for index, sample in enumerate(SAMPLES)],
)
def test_recorded_message_decodes_and_encodes_identically(sample: dict[str, Any]) -> None:
    message = records.decode(sample["number"], bytes.fromhex(sample["bytes"]))
    assert plain_values(message) == sample["values"]
    assert records.record_number_of(message) == sample["number"]
    assert records.encode(message).hex() == sample["bytes"]
