"""The data types of the core: settings, events and actions; times are whole microseconds.

A number that a deployment does not configure is 0, a list that it does not configure is empty.
"""

from hophinge.core.interface.events import (
    Action,
    Arrival,
    Cancel,
    Departure,
    Event,
    Fail,
    Log,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Send,
    SetTimer,
    StreamStarted,
    TimerExpired,
    WaitAtGate,
    Watch,
)
from hophinge.core.interface.nodes import ListKind, NodeEntry, NodeList, Phase, Result
from hophinge.core.interface.protocols import Bounds, Scorers, NodeObservation
from hophinge.core.interface.settings import Allowed, DedupScope, Discovery, Effect, Plan, RequestClass, Rules, Settings

__all__ = [
    "Action",
    "Allowed",
    "Arrival",
    "Bounds",
    "Cancel",
    "DedupScope",
    "Departure",
    "Discovery",
    "Effect",
    "Event",
    "Fail",
    "ListKind",
    "Log",
    "NodeEntry",
    "NodeList",
    "Outcome",
    "Phase",
    "Plan",
    "Probe",
    "ProbeResult",
    "Refuse",
    "RequestClass",
    "Result",
    "Rules",
    "Scorers",
    "NodeObservation",
    "Send",
    "SetTimer",
    "Settings",
    "StreamStarted",
    "TimerExpired",
    "WaitAtGate",
    "Watch",
]
