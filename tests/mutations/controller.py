"""Guards of `roselink/controller`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

STORAGE = ("tests/simulation/test_disk.py", "tests/controller/test_storage.py")
PULLS = (
    "tests/controller/test_pull_server.py",
    "tests/controller/test_pull_driver.py",
    "tests/controller/test_host_versions.py",
    "tests/simulation/test_scenarios.py",
)
API = ("tests/controller/test_api.py",)
UPDATES = ("tests/controller/test_updates.py",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "controller/storage.py",
        STORAGE,
        (
            "files are not synced",
            "            self.files.sync(base + suffix)\n",
            "            pass\n",
        ),
        ("the folder is not synced", "        self.files.sync(self.folder)\n", ""),
        (
            "a torn record is loaded",
            " if checksum == _checksum(generation, number, payload) else None",
            "",
        ),
        (
            "an acceptor state is loaded without an intact state",
            "isinstance(acceptor, AcceptorState) and isinstance(state, StoredState)",
            "isinstance(acceptor, AcceptorState)",
        ),
        (
            "a failed save leaves its files",
            "            self._remove_files(base)\n            raise",
            "            raise",
        ),
    ),
    *mutations_of(
        "controller/api.py",
        API,
        (
            "a change's base is not part of its digest",
            "digest_of(base, body))",
            "digest_of(0, body))",
        ),
        (
            "an unknown outcome is reported as a conflict",
            "return _unavailable(request, ApiError.UNSETTLED)",
            "return _conflict(request, 0)",
        ),
        (
            "an unconfirmed read is reported as no configuration",
            "            return _unavailable(request, ApiError.UNCONFIRMED)",
            "            return _error(request, ApiError.NO_CONFIGURATION)",
        ),
        (
            "changes are accepted while the process stops",
            "            return _stopping(request)\n        return base\n",
            "            pass\n        return base\n",
        ),
    ),
    *mutations_of(
        "controller/stepwise_imports.py",
        ("tests/controller/test_imports.py",),
        (
            "imports continue while a view is being agreed",
            "            await self._wait_for_view()\n",
            "",
        ),
    ),
    *mutations_of(
        "controller/updates.py",
        UPDATES,
        (
            "an update's base is not part of its digest",
            'struct.pack("!q", base)',
            'struct.pack("!q", 0)',
        ),
        ("an update has the digest of a complete document", "_DIGEST_PREFIX + ", ""),
        ("an update is merged onto any base", "if base != confirmation.generation:", "if False:"),
        (
            "a merged document is not validated",
            "    if isinstance(valid, ValidationFailure):\n",
            "    if False:\n",
        ),
        ("an update may contain an item twice", "elif name in seen:", "elif False:"),
        (
            "an update may both upsert and remove an item",
            "elif isinstance(removed, list) and name in removed:",
            "elif False:",
        ),
        (
            "an unconfirmed read is reported as a conflict",
            "        if confirmation is None:\n            done(OutcomeUnknown())",
            "        if confirmation is None:\n            done(Conflict(0))",
        ),
    ),
    *mutations_of(
        "controller/pull_server.py",
        PULLS,
        ("a confirmation of another view is used", " or confirmation.epoch != self._epoch", ""),
        (
            "a reply is built without a confirmation",
            "if confirmation is None or not self._is_tail or",
            "if not self._is_tail or",
        ),
        (
            "a forwarded pull is forwarded again",
            "if forwarded or self._tail is None:",
            "if self._tail is None:",
        ),
        (
            "hosts of an older view are published",
            "if not self._is_tail or epoch != self._epoch:",
            "if not self._is_tail:",
        ),
        (
            "versions restart from 1 in a new view",
            "return max(version, self._epoch << EPOCH_SHIFT) + 1",
            "return version + 1",
        ),
    ),
    *mutations_of(
        "controller/gateway_roster.py",
        PULLS,
        (
            "a delayed pull of a former incarnation counts",
            "            if member.incarnation in known.former_incarnations:\n"
            "                return\n",
            "",
        ),
        (
            "a stall of the tail times out gateways",
            "        if gap_s > self._times.stall_s:",
            "        if False:",
        ),
        (
            "the roster is published before the collection time",
            "        if now < self._collect_until:\n            return\n",
            "",
        ),
    ),
    *mutations_of(
        "controller/disk_recovery.py",
        ("tests/controller/test_disk_recovery.py",),
        (
            "a missing voter that may have a newer state is accepted",
            "        *_explain_missing_voters(views, given, lost),\n",
            "",
        ),
        (
            "a core that can start without recovery is recovered",
            "if not reasons and _can_start_without_recovery(usable, given):",
            "if False:",
        ),
        (
            "a later view that no disk knows is ignored",
            "if not reasons and not has_every_disk and",
            "if False and",
        ),
        (
            "the recovered state's sequence is not raised",
            "source_state.state.sequence + SEQUENCE_GAP",
            "source_state.state.sequence",
        ),
        (
            "the former records are not moved aside",
            "        _move_aside(disk.folder)\n",
            "        pass\n",
        ),
        (
            "an accepted proposal is ignored",
            "for view in (acceptor.proposal, acceptor.view)",
            "for view in (acceptor.view,)",
        ),
    ),
    *mutations_of(
        "controller/storage.py",
        ("tests/controller/test_storage.py",),
        (
            "verify reads a generation whose save failed",
            "self._read_payload(store, self._durable.get(store, 0))",
            "self._read_payload(store, self._last_started.get(store, 0))",
        ),
    ),
)
