"""Errors of the simulation: a scenario that failed, an invariant that does not hold, a crash."""

from __future__ import annotations

from typing import TYPE_CHECKING

from roselink.exceptions import RoselinkError

if TYPE_CHECKING:
    from roselink.controller.validation import ValidationFailure
    from roselink.simulation.history import Change, Violation
    from roselink.simulation.model_checker import ModelStep


class SimulationError(RoselinkError):
    """Base of the errors of this package."""

    code = "SIM-000"


class ScenarioError(SimulationError, AssertionError):
    """A scenario ended in a state that it must not end in.

    Attributes:
        reason: what went wrong.
        violations: what the history checker found that one register can't explain.
    """

    code = "SIM-001"

    def __init__(self, reason: str, violations: tuple[Violation, ...] = ()) -> None:
        """Note the reason and the violations, which the text lists one a line."""
        super().__init__(reason + "".join(f"\n  {each.rule}: {each.detail}" for each in violations))
        self.reason = reason
        self.violations = violations


class InvariantViolatedError(SimulationError, AssertionError):
    """A state in which an invariant does not hold.

    Attributes:
        reason: the invariant that does not hold.
        path: the steps that lead to the state.
    """

    code = "SIM-002"

    def __init__(self, reason: str, path: tuple[ModelStep, ...]) -> None:
        """Note the invariant and the path, whose steps the text lists one a line."""
        super().__init__(reason + "".join(f"\n  {step}" for step in path))
        self.reason = reason
        self.path = path


class ProcessCrashError(SimulationError):
    """The simulated process ends at this disk operation."""

    code = "SIM-003"


class UnsupportedTypeError(SimulationError, AssertionError):
    """A machine has a part of which no fingerprint can be taken.

    Attributes:
        kind: the class of the part.
    """

    code = "SIM-004"

    def __init__(self, kind: type[object]) -> None:
        """Note the class of the part."""
        super().__init__(f"no fingerprint of a {kind.__name__}")
        self.kind = kind


class ProcessNotRunningError(SimulationError, AssertionError):
    """A call was made to a machine that runs no process.

    Attributes:
        address: the address of the machine.
    """

    code = "SIM-005"

    def __init__(self, address: str) -> None:
        """Note the address of the machine."""
        super().__init__(f"{address} runs no process")
        self.address = address


class ChangeNotValidError(SimulationError, AssertionError):
    """The controller's validation refuses a change that an operator made up.

    Attributes:
        change: the change.
        refusal: the result of the validation.
    """

    code = "SIM-006"

    def __init__(self, change: Change, refusal: ValidationFailure) -> None:
        """Note the change and the result of its validation."""
        super().__init__(f"{change}: {refusal}")
        self.change = change
        self.refusal = refusal


class SequenceConflictError(ScenarioError):
    """Two changes were confirmed or returned under one sequence, or one change under two.

    Attributes:
        sequence: the sequence.
        text: the text of the change that was confirmed or returned; None for no configuration.
    """

    code = "SIM-007"

    def __init__(self, sequence: int, name: str | None) -> None:
        """Note the sequence and the text of the change."""
        super().__init__(f"sequence {sequence} is not unique to the change {name}")
        self.sequence = sequence
        self.name = name


class NoActiveChainError(ScenarioError):
    """No chain is active at the end of a scenario."""

    code = "SIM-008"

    def __init__(self) -> None:
        """Give the reason."""
        super().__init__("no active chain at the end")


class HostListRegressedError(ScenarioError):
    """A gateway used an older list of hosts after a newer one."""

    code = "SIM-009"

    def __init__(self) -> None:
        """Give the reason."""
        super().__init__("a gateway's list of hosts went back")


class NothingConfirmedError(ScenarioError):
    """No change was confirmed in a scenario, or no gateway let a request through."""

    code = "SIM-010"

    def __init__(self) -> None:
        """Give the reason."""
        super().__init__("no change was confirmed, or no key was used")


class InconsistentHistoryError(ScenarioError):
    """One register can't explain the history of a scenario."""

    code = "SIM-011"

    def __init__(self, violations: tuple[Violation, ...]) -> None:
        """Note the violations."""
        super().__init__("the history has no explanation", violations)


class MachineError(ScenarioError):
    """Base of what is wrong with one machine.

    Attributes:
        address: the address of the machine.
    """

    code = "SIM-012"

    def __init__(self, address: str, reason: str) -> None:
        """Note the machine and the reason."""
        super().__init__(f"{address} {reason}")
        self.address = address


class NotRecoveredError(MachineError):
    """A machine does not take part in the active chain at the end of a scenario."""

    code = "SIM-013"

    def __init__(self, address: str) -> None:
        """Note the machine."""
        super().__init__(address, "has not recovered")


class ReadTimedOutError(MachineError):
    """A read at a machine did not end within its time-out."""

    code = "SIM-014"

    def __init__(self, address: str) -> None:
        """Note the machine."""
        super().__init__(address, "did not end a read")


class UnconfirmedReadError(MachineError):
    """A read that has to be confirmed was not."""

    code = "SIM-015"

    def __init__(self, address: str) -> None:
        """Note the machine."""
        super().__init__(address, "can't confirm a read")


class ChangeStateError(ScenarioError):
    """Base of what is wrong with one change on a member's disk.

    Attributes:
        change: the change.
    """

    code = "SIM-016"

    def __init__(self, reason: str, change: Change) -> None:
        """Note the reason and the change."""
        super().__init__(f"{reason}: {change}")
        self.change = change


class LostChangeError(ChangeStateError):
    """A confirmed change is not on a member's disk."""

    code = "SIM-017"

    def __init__(self, change: Change) -> None:
        """Note the change."""
        super().__init__("a confirmed change is lost", change)


class RefusedChangeInForceError(ChangeStateError):
    """A refused change is in force on a member's disk."""

    code = "SIM-018"

    def __init__(self, change: Change) -> None:
        """Note the change."""
        super().__init__("a refused change came into force", change)


class StandardLibraryError(SimulationError, AssertionError):
    """A module of the standard library that the simulation loads once more can't be found.

    Attributes:
        module: the name of the module.
    """

    code = "SIM-019"

    def __init__(self, module: str) -> None:
        """Note the name of the module."""
        super().__init__(f"{module} is no module of the standard library")
        self.module = module
