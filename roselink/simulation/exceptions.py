"""Errors of the simulation: failed scenarios, violated invariants and simulated crashes."""

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
    """A check at the end of a scenario failed.

    Attributes:
        reason: what went wrong.
        violations: the results that the history checker found to be impossible for one register.
    """

    code = "SIM-001"

    def __init__(self, reason: str, violations: tuple[Violation, ...] = ()) -> None:
        """Store the reason and the violations; the message has one line for each violation."""
        super().__init__(reason + "".join(f"\n  {each.rule}: {each.detail}" for each in violations))
        self.reason = reason
        self.violations = violations


class InvariantViolatedError(SimulationError, AssertionError):
    """An invariant does not hold in a state that the model checker reached.

    Attributes:
        reason: the violated invariant.
        path: the steps from the initial state to the violation.
    """

    code = "SIM-002"

    def __init__(self, reason: str, path: tuple[ModelStep, ...]) -> None:
        """Store the invariant and the path; the message has one line for each step."""
        super().__init__(reason + "".join(f"\n  {step}" for step in path))
        self.reason = reason
        self.path = path


class ProcessCrashError(SimulationError):
    """The simulated process crashes at this disk operation."""

    code = "SIM-003"


class UnsupportedTypeError(SimulationError, AssertionError):
    """A machine has an object for whose class no fingerprint is defined.

    Attributes:
        kind: the class of the object.
    """

    code = "SIM-004"

    def __init__(self, kind: type[object]) -> None:
        """Store the class of the object."""
        super().__init__(f"no fingerprint is defined for objects of class {kind.__name__}")
        self.kind = kind


class ProcessNotRunningError(SimulationError, AssertionError):
    """A call was made to a machine that runs no process.

    Attributes:
        address: the address of the machine.
    """

    code = "SIM-005"

    def __init__(self, address: str) -> None:
        """Store the address of the machine."""
        super().__init__(f"machine {address} runs no process")
        self.address = address


class ChangeNotValidError(SimulationError, AssertionError):
    """The controller's validation rejects a change that an operator generated.

    Attributes:
        change: the change.
        refusal: the result of the validation.
    """

    code = "SIM-006"

    def __init__(self, change: Change, refusal: ValidationFailure) -> None:
        """Store the change and the result of its validation."""
        super().__init__(f"the validation rejects {change}: {refusal}")
        self.change = change
        self.refusal = refusal


class SequenceConflictError(ScenarioError):
    """Two changes were confirmed or returned with one sequence number, or one change with two.

    Attributes:
        sequence: the sequence number.
        name: the name of the change that was confirmed or returned; None for no configuration.
    """

    code = "SIM-007"

    def __init__(self, sequence: int, name: str | None) -> None:
        """Store the sequence number and the name of the change."""
        super().__init__(f"sequence number {sequence} is not unique to the change {name}")
        self.sequence = sequence
        self.name = name


class NoActiveChainError(ScenarioError):
    """No chain is active at the end of a scenario."""

    code = "SIM-008"

    def __init__(self) -> None:
        """Set the fixed message."""
        super().__init__("no chain is active at the end")


class HostListRegressedError(ScenarioError):
    """A gateway applied an older host list after a newer one."""

    code = "SIM-009"

    def __init__(self) -> None:
        """Set the fixed message."""
        super().__init__("a gateway applied an older host list after a newer one")


class NothingConfirmedError(ScenarioError):
    """No change was confirmed in a scenario, or no gateway admitted a request."""

    code = "SIM-010"

    def __init__(self) -> None:
        """Set the fixed message."""
        super().__init__("no change was confirmed, or no gateway admitted a request")


class InconsistentHistoryError(ScenarioError):
    """The history of a scenario is impossible for one linearizable register."""

    code = "SIM-011"

    def __init__(self, violations: tuple[Violation, ...]) -> None:
        """Store the violations."""
        super().__init__("the history is not that of one register", violations)


class MachineError(ScenarioError):
    """Base of the errors that concern one machine.

    Attributes:
        address: the address of the machine.
    """

    code = "SIM-012"

    def __init__(self, address: str, reason: str) -> None:
        """Store the machine and the reason."""
        super().__init__(f"machine {address} {reason}")
        self.address = address


class NotRecoveredError(MachineError):
    """A machine is not a participant of the active chain at the end of a scenario."""

    code = "SIM-013"

    def __init__(self, address: str) -> None:
        """Store the machine."""
        super().__init__(address, "does not take part in the active chain at the end")


class ReadTimedOutError(MachineError):
    """A read at a machine did not complete within its time-out."""

    code = "SIM-014"

    def __init__(self, address: str) -> None:
        """Store the machine."""
        super().__init__(address, "did not complete a read within the time-out")


class UnconfirmedReadError(MachineError):
    """A read at a machine was not confirmed by the core at the end of a scenario."""

    code = "SIM-015"

    def __init__(self, address: str) -> None:
        """Store the machine."""
        super().__init__(address, "returned no confirmed configuration")


class ChangeStateError(ScenarioError):
    """Base of the errors that concern one change on a member's disk.

    Attributes:
        change: the change.
    """

    code = "SIM-016"

    def __init__(self, reason: str, change: Change) -> None:
        """Store the reason and the change."""
        super().__init__(f"{reason}: {change}")
        self.change = change


class LostChangeError(ChangeStateError):
    """A confirmed change is missing on a member's disk."""

    code = "SIM-017"

    def __init__(self, change: Change) -> None:
        """Store the change."""
        super().__init__("a member's disk lacks a confirmed change", change)


class RefusedChangeInForceError(ChangeStateError):
    """A refused change is in force on a member's disk."""

    code = "SIM-018"

    def __init__(self, change: Change) -> None:
        """Store the change."""
        super().__init__("a refused change is in force on a member's disk", change)


class RejectedChangeError(ChangeStateError):
    """A core without faults did not confirm a change on its newest configuration."""

    code = "SIM-020"

    def __init__(self, change: Change) -> None:
        """Store the change."""
        super().__init__("the core did not confirm a change at the end", change)


class GatewayNotServingError(ScenarioError):
    """A gateway does not serve at the end of a scenario.

    Attributes:
        name: the name of the gateway.
    """

    code = "SIM-021"

    def __init__(self, name: str) -> None:
        """Store the name of the gateway."""
        super().__init__(f"{name} does not have the last change, or may not use its keys")
        self.name = name


class LiveMachineRemovedError(MachineError):
    """A proposal removes a live machine from the chain because of machines that have stopped."""

    code = "SIM-022"

    def __init__(self, address: str) -> None:
        """Store the machine."""
        super().__init__(address, "was removed from the chain in the place of a stopped one")


class StandardLibraryError(SimulationError, AssertionError):
    """A module of the standard library that the simulation loads a second time can't be found.

    Attributes:
        module: the name of the module.
    """

    code = "SIM-019"

    def __init__(self, module: str) -> None:
        """Store the name of the module."""
        super().__init__(f"module {module} of the standard library not found")
        self.module = module
