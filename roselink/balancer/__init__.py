"""Load-balancing decisions of a reverse proxy that tolerate server failures.

The entry points are `Balancer` (`decider`) and its events and actions (`interface`).
"""

from roselink.balancer.decider import Balancer
from roselink.balancer.interface import (
    Action,
    Alarm,
    Arrived,
    AttemptDone,
    Cancel,
    Departed,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    Log,
    Probe,
    ProbeDone,
    Refuse,
    Route,
    Send,
    Server,
    ServerList,
    SetAlarm,
    Settings,
    State,
    StreamStarted,
    Watch,
)
from roselink.routing.outcome import Outcome

__version__ = "0.2.0"

__all__ = [
    "Action",
    "Alarm",
    "Arrived",
    "AttemptDone",
    "Balancer",
    "Cancel",
    "Departed",
    "Effect",
    "Event",
    "Fail",
    "Group",
    "ListKind",
    "Log",
    "Outcome",
    "Probe",
    "ProbeDone",
    "Refuse",
    "Route",
    "Send",
    "Server",
    "ServerList",
    "SetAlarm",
    "Settings",
    "State",
    "StreamStarted",
    "Watch",
]
