"""Writes a deployment file whose days pair every kind of fault with every other.

`python -m tools.own_days SITE OUT --days 60 --seed 1` keeps the deployment of SITE and
replaces its standard days. Of every fourteen days, the first seven follow `SCENARIOS`, which repeat
failures that operators have seen. Each other day has two kinds of faults, each injected twice and
close together, in addition to configuration changes.
"""

from __future__ import annotations

import itertools
import random
import sys
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path

import defopt  # type: ignore[import-untyped]

# Keys and values of the TOML table of one fault.
Fault = dict[str, object]
# Earliest start of a pair of faults, in seconds.
FIRST_FAULT_AT_S = 3.0
# Latest start of a pair of faults, as a fraction of the day, so that the day includes the recovery.
# A larger fraction leaves less time to recover; a smaller one concentrates the faults.
LAST_FAULT_FRACTION = 0.8
# Kinds that a deployment file lists under `plan` instead of `faults`.
PLANNED_KINDS = {
    "release",
    "roll_term",
    "config_change",
    "config_storm",
    "config_race",
    "bad_config",
    "revoke",
}
PLANNED_KINDS |= {"replace_core", "seed_turnover", "hup", "scale_out", "scale_in"}

FAULT_KINDS: tuple[Fault, ...] = (
    {"kind": "burst", "x": 1.5, "for_s": 4.0},
    {"kind": "hot_key", "share": 0.3, "for_s": 5.0},
    {"kind": "hot_tenant", "x": 7.0, "for_s": 6.0},
    {"kind": "srv_crash", "share": 0.2, "for_s": 5.0},
    {"kind": "srv_crash", "share": 0.2, "for_s": 5.0, "how": "dark"},
    {"kind": "release", "share": 0.4, "x": 1.0, "gap_s": 1.0},
    {"kind": "answer_lost", "share": 0.5, "x": 0.05, "for_s": 6.0},
    {"kind": "garble", "share": 0.5, "x": 0.04, "for_s": 6.0},
    {"kind": "garble", "share": 0.5, "x": 0.04, "for_s": 6.0, "how": "extra"},
    {"kind": "garble", "share": 0.5, "x": 0.04, "for_s": 6.0, "how": "unframed"},
    {"kind": "garble", "share": 0.5, "x": 0.04, "for_s": 6.0, "how": "early"},
    {"kind": "node_kill", "share": 0.2, "for_s": 2.0},
    {"kind": "node_kill", "on": "core", "count": 1, "for_s": 2.0, "how": "leader power"},
    {"kind": "node_freeze", "share": 0.2, "for_s": 4.0},
    {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 5.0, "how": "leader race"},
    {"kind": "roll_term", "share": 0.5, "x": 1.0, "gap_s": 1.0, "how": "busy"},
    {"kind": "roll_term", "share": 0.3, "x": 1.0, "gap_s": 1.0, "how": "remove"},
    {"kind": "roll_term", "on": "core", "share": 1.0, "x": 1.0, "gap_s": 2.5},
    {"kind": "herd_kill", "share": 0.6, "for_s": 1.5},
    {"kind": "herd_kill", "on": "core", "for_s": 1.0, "how": "power"},
    {"kind": "herd_kill", "on": "core", "for_s": 1.0, "how": "taken"},
    {"kind": "replace_core", "x": 1.5, "how": "oldest"},
    {"kind": "replace_core", "x": 1.5, "how": "planned"},
    {"kind": "replace_core", "x": 1.5, "how": "leader"},
    {"kind": "seed_turnover"},
    {"kind": "after_ack_wipe", "for_s": 2.5},
    {"kind": "after_ack_wipe", "for_s": 2.5, "how": "oldest"},
    {"kind": "after_ack_kill", "count": 1, "for_s": 2.0, "how": "timed"},
    {"kind": "disk_full", "count": 1, "for_s": 3.0},
    {"kind": "disk_stall", "count": 1, "for_s": 4.0, "how": "leader"},
    {"kind": "disk_slow", "count": 1, "for_s": 4.0, "x": 30.0},
    {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "leader hard"},
    {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "one_way race"},
    {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "all meet"},
    {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "both"},
    {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "near"},
    {"kind": "core_cut", "count": 1, "for_s": 6.0, "how": "seeds"},
    {"kind": "core_cut", "count": 1, "for_s": 8.0, "how": "lure"},
    {"kind": "core_cut", "for_s": 5.0, "how": "split hard"},
    {"kind": "core_cut", "count": 1, "for_s": 4.0, "how": "behind"},
    {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "relieve"},
    {"kind": "herd_kill", "on": "core", "for_s": 1.0, "how": "taken all"},
    {"kind": "big_config", "count": 700},
    {"kind": "config_storm", "gap_s": 0.2, "for_s": 5.0},
    {"kind": "config_race", "count": 4, "gap_s": 0.4},
    {"kind": "bad_config", "count": 6, "gap_s": 0.3},
    {"kind": "bad_config", "count": 4, "gap_s": 0.3, "how": "same_version"},
    {"kind": "ack_lost", "for_s": 10.0, "x": 0.8},
    {"kind": "revoke", "count": 2, "gap_s": 1.0},
    {"kind": "retry_abuse", "share": 0.4, "x": 3.0, "for_s": 6.0},
    {"kind": "give_up", "share": 0.3, "for_s": 6.0},
    {"kind": "srv_slow", "share": 0.2, "x": 4.0, "for_s": 5.0},
    {"kind": "srv_grey", "share": 0.2, "x": 0.4, "for_s": 5.0, "how": "hang"},
    {"kind": "srv_grey", "share": 0.2, "x": 0.4, "for_s": 5.0, "how": "reset"},
    {"kind": "srv_grey", "share": 0.2, "x": 0.4, "for_s": 5.0, "how": "mute"},
    {"kind": "srv_cut", "share": 0.3, "for_s": 5.0},
    {"kind": "srv_cut", "share": 0.3, "for_s": 5.0, "how": "fronts"},
    {"kind": "replace_with_reuse", "share": 0.2, "how": "dark"},
    {"kind": "replace_with_reuse", "share": 0.2, "how": "drain"},
    {"kind": "scale_out", "share": 0.3, "gap_s": 3.0},
    {"kind": "scale_in", "share": 0.2, "how": "spot", "x": 2.0},
    {"kind": "node_slow", "share": 0.2, "x": 5.0, "for_s": 5.0},
    {"kind": "node_slow", "on": "core", "count": 1, "x": 5.0, "for_s": 5.0, "how": "leader"},
    {"kind": "clock_step", "share": 0.5, "x": 4000.0, "for_s": 5.0},
    {"kind": "clock_step", "share": 0.5, "x": 4000.0, "for_s": 5.0, "how": "back"},
    {"kind": "hup", "share": 0.5, "gap_s": 2.0},
    {"kind": "reset_conns", "share": 0.4, "x": 0.5, "for_s": 2.0},
    {"kind": "node_cut", "share": 0.2, "for_s": 5.0},
    {"kind": "node_cut", "share": 0.2, "for_s": 5.0, "how": "servers"},
)
CLOSING_FAULTS: tuple[Fault | None, ...] = (
    None,
    {"kind": "power_off_all", "down_s": 1.0},
    {"kind": "power_off_all", "down_s": 1.0, "how": "timed"},
    {"kind": "wipe_after_ack", "down_s": 1.2},
    {"kind": "wipe_after_ack", "down_s": 1.2, "how": "oldest"},
    {"kind": "wipe_after_ack", "down_s": 1.2, "how": "timed"},
    {"kind": "kill_all", "down_s": 1.0},
)
Scenario = Callable[[random.Random], list[Fault]]


def long_cut(rng: random.Random) -> list[Fault]:
    """A core machine is partitioned for twenty seconds during concurrent changes."""
    how = rng.choice(("leader lure hard", "lure race", "all race", "one_way meet", "near race"))
    return [
        {"kind": "core_cut", "count": 1, "for_s": 20.0, "how": how, "at": rng.uniform(4, 7)},
        {"kind": "config_race", "count": 5, "gap_s": 2.5, "at": 6.0},
        {"kind": "revoke", "count": 2, "gap_s": 5.0, "at": 9.0},
    ]


def lost_answers(rng: random.Random) -> list[Fault]:
    """Concurrent changes use one generation, and most acknowledgements are lost."""
    return [
        {"kind": "ack_lost", "for_s": 24.0, "x": rng.choice((0.6, 0.9)), "at": 2.0},
        {"kind": "config_race", "count": 12, "gap_s": rng.choice((0.3, 0.8, 1.5)), "at": 4.0},
        {
            "kind": "node_kill",
            "on": "core",
            "count": 1,
            "for_s": 1.5,
            "how": "leader race",
            "at": 8.0,
        },
        {"kind": "herd_kill", "on": "core", "for_s": 1.0, "how": "taken race", "at": 17.0},
    ]


def loss_after_repair(rng: random.Random) -> list[Fault]:
    """Core machines are replaced one by one, and a disk is lost after each replacement."""
    how = rng.choice(("planned", "oldest", "leader"))
    gap_s = rng.uniform(5.0, 8.0)
    return [
        {"kind": "replace_core", "x": 1.0, "how": how, "at": 4.0},
        {"kind": "after_ack_wipe", "for_s": 2.0, "how": "oldest", "at": 4.0 + gap_s},
        {"kind": "replace_core", "x": 1.0, "how": how, "at": 4.0 + 2 * gap_s},
        {"kind": "after_ack_wipe", "for_s": 2.0, "at": 4.0 + 3 * gap_s},
    ]


def many_changes(rng: random.Random) -> list[Fault]:
    """Hundreds of changes are followed by restarts."""
    down_s = rng.uniform(1, 4)
    return [
        {"kind": "config_storm", "gap_s": 0.035, "count": 500, "at": 3.0},
        {
            "kind": "node_kill",
            "on": "core",
            "count": 1,
            "for_s": down_s,
            "how": "power",
            "at": 9.0,
        },
        {"kind": "after_ack_wipe", "for_s": 2.0, "at": 16.0},
        {"kind": "herd_kill", "on": "core", "for_s": 1.0, "how": "power", "at": 24.0},
    ]


def spoilt_answers(rng: random.Random) -> list[Fault]:
    """Hosts duplicate, corrupt, lose and truncate their responses while clients give up."""
    garbled: list[Fault] = [
        {"kind": "garble", "share": 0.7, "x": 0.08, "for_s": 20.0, "how": how, "at": 4.0 + index}
        for index, how in enumerate(rng.sample(("extra", "unframed", "early"), 2))
    ]
    return [
        *garbled,
        {"kind": "answer_lost", "share": 0.7, "x": 0.08, "for_s": 20.0, "at": 4.0},
        {"kind": "srv_grey", "share": 0.3, "x": 0.4, "for_s": 8.0, "how": "reset", "at": 8.0},
        {"kind": "give_up", "share": 0.3, "for_s": 12.0, "at": 6.0},
        {"kind": "reset_conns", "share": 0.4, "x": 0.5, "for_s": 4.0, "at": 14.0},
    ]


def losses_that_overlap(rng: random.Random) -> list[Fault]:
    """Two halves without a majority, then a stale minority, then a loss of all power."""
    return [
        {"kind": "core_cut", "for_s": rng.uniform(3, 6), "how": "split hard", "at": 4.0},
        {"kind": "core_cut", "count": 1, "for_s": 3.0, "how": "behind", "at": 13.0},
        {
            "kind": "herd_kill",
            "on": "core",
            "for_s": 1.0,
            "how": "taken all",
            "at": rng.uniform(17, 21),
        },
        {"kind": "config_race", "count": 8, "gap_s": 2.0, "at": 5.0},
    ]


def last_disks(rng: random.Random) -> list[Fault]:
    """Disks and all power are lost before the end, whose closing fault may wipe disks too."""
    return [
        {"kind": "after_ack_wipe", "for_s": 1.5, "how": rng.choice(("", "oldest")), "at": 12.0},
        {
            "kind": "herd_kill",
            "on": "core",
            "for_s": 1.0,
            "how": "taken all",
            "at": 12.0 + rng.random(),
        },
        {"kind": "config_storm", "gap_s": 0.5, "count": 12, "at": 9.0},
        {
            "kind": "herd_kill",
            "on": "core",
            "for_s": 1.0,
            "how": "taken all",
            "at": rng.uniform(25, 28),
        },
    ]


# The title of a day contains the name of its function.
SCENARIOS: tuple[Scenario, ...] = (
    long_cut,
    lost_answers,
    loss_after_repair,
    many_changes,
    spoilt_answers,
    losses_that_overlap,
    last_disks,
)


def toml_value(value: object) -> str:
    """Encode a TOML value."""
    if isinstance(value, str):
        return f'"{value}"'
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def toml_table(fault: Fault) -> str:
    """Encode a TOML inline table."""
    return "{ " + ", ".join(f"{key} = {toml_value(value)}" for key, value in fault.items()) + " }"


def kind_pairs(rng: random.Random) -> Iterator[tuple[Fault, Fault]]:
    """Yield all pairs of kinds, ordered so that the first pairs include every kind."""
    kinds = list(FAULT_KINDS)
    rng.shuffle(kinds)
    for distance in itertools.count(1):
        for index, first in enumerate(kinds):
            yield first, kinds[(index + distance) % len(kinds)]


def paired_faults(rng: random.Random, pair: tuple[Fault, Fault], length_s: float) -> list[Fault]:
    """Return the faults of a day: both kinds twice, overlapping, and configuration changes."""
    last_at = LAST_FAULT_FRACTION * length_s
    first_at = rng.uniform(FIRST_FAULT_AT_S, last_at / 2)
    second_at = rng.uniform(last_at / 2, last_at)
    faults: list[Fault] = []
    for at in (first_at, second_at):
        for fault in pair:
            faults.append(fault | {"at": round(at + rng.uniform(0, 1.5), 2)})
    change_kind = rng.choice(("config_race", "config_storm"))
    faults.append(
        {"kind": change_kind, "count": 6, "gap_s": round(rng.uniform(0.5, 3.0), 2), "at": 4.0}
    )
    return faults


def day_toml(name: str, seed: int, faults: list[Fault], closing: Fault | None) -> str:
    """Encode one day of a deployment file, without its traffic."""

    def toml_array(name: str, entries: list[Fault]) -> str:
        return f"{name} = [\n" + "".join(f"  {toml_table(entry)},\n" for entry in entries) + "]\n"

    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"seed = {seed}"]
    if closing is not None:
        lines.append(f"closing = {toml_table(closing)}")
    lines += ["one = 0.8", "zero = 0.3", "goal = { floor = 0.1 }", "labels = []", "wall = 2.0"]
    lines.append("light = true")
    text = "\n".join(lines) + "\n"
    text += toml_array("plan", [fault for fault in faults if fault["kind"] in PLANNED_KINDS])
    return text + toml_array(
        "faults", [fault for fault in faults if fault["kind"] not in PLANNED_KINDS]
    )


def write_days(site: str, out: str, *, days: int = 60, seed: int = 1) -> None:
    """Write a copy of a deployment file with generated days.

    :param site: path of the deployment file to copy
    :param out: path of the file to write
    :param days: number of days
    :param seed: seed of all random choices
    """
    text = Path(site).read_text(encoding="utf-8")
    deployment = tomllib.loads(text)
    preamble, _, first_day = text.partition("[[day]]")
    day = first_day.partition("[[day]]")[0]
    traffic = day[day.index("traffic = [") :].partition("\n]\n")[0] + "\n]\n"
    rng = random.Random(seed)
    pairs = kind_pairs(rng)
    sections = [preamble]
    for number in range(1, days + 1):
        index = (number - 1) % (2 * len(SCENARIOS))
        if index < len(SCENARIOS):
            name = SCENARIOS[index].__name__
            faults = SCENARIOS[index](rng)
        else:
            pair = next(pairs)
            name = "-".join(str(kind["kind"]) for kind in pair)
            faults = paired_faults(rng, pair, deployment["length_s"])
        closing = rng.choice(CLOSING_FAULTS)
        title = f"own-{number}-{name.replace('_', '-')}"
        sections.append(day_toml(title, rng.randrange(1, 10**9), faults, closing) + traffic + "\n")
    Path(out).write_text("".join(sections), encoding="utf-8")


if __name__ == "__main__":
    sys.exit(defopt.run(write_days))
