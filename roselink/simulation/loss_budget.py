"""What counts as lost at each moment of a scenario, by the rules of the deployment.

A machine counts as lost while it is down, and for `RECOVERY_S` after its start. A machine that was
removed no longer counts once its successor has run for that time.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Loss:
    """One machine that counts as lost until `ends_at`; infinite while it is down."""

    ends_at: float = float("inf")


@dataclass(slots=True)
class LossBudget:
    """The losses of a scenario; at most `tolerated` of them at a time."""

    tolerated: int
    _losses: list[Loss] = field(default_factory=list)

    def active(self, now: float) -> int:
        """The number of machines that count as lost."""
        self._losses = [loss for loss in self._losses if loss.ends_at > now]
        return len(self._losses)

    def permits_loss(self, now: float) -> bool:
        """Whether one more machine may be lost."""
        return self.active(now) < self.tolerated

    def begin(self) -> Loss:
        """Count one more machine as lost; the caller sets when that ends."""
        loss = Loss()
        self._losses.append(loss)
        return loss
