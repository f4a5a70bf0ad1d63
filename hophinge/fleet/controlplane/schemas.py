"""The JSON bodies that instances send."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import BaseModel, Field, field_validator

from hophinge.fleet.registry.registry import UNREGISTERED_SEQUENCE

MAX_PORT = 65_535
MILLISECONDS = 1_000
MAX_NAME_CHARACTERS = 256  # of a service, zone, version, stage or model
MAX_MODELS = 64  # of one instance
MAX_QUEUE_LENGTH = 100_000  # requests at one instance
MAX_TOKENS = 2**53 - 1


Name = Annotated[str, Field(max_length=MAX_NAME_CHARACTERS)]


class ModelBody(BaseModel):
    """A model that an instance serves."""

    name: Name
    version: int = 1


class ReportBody(BaseModel):
    """An instance's report of its load; unknown fields are ignored."""

    waiting: int = Field(ge=0, le=MAX_QUEUE_LENGTH)
    running: int = Field(ge=0, le=MAX_QUEUE_LENGTH)
    used_tokens: int = Field(ge=0, le=MAX_TOKENS, alias="kv-used")
    total_tokens: int = Field(ge=0, le=MAX_TOKENS, alias="kv-total")


class HeartbeatBody(BaseModel):
    """An instance's heartbeat; unknown fields are ignored."""

    service: Name
    address: str = Field(pattern=r"^[^\s:]+:[0-9]{1,5}$", max_length=MAX_NAME_CHARACTERS)
    zone: Name = ""
    version: Name = ""
    slots: int = Field(default=1, ge=0)
    state: Literal["ready", "draining"] = "ready"
    cold_remaining_ms: float | None = Field(default=0.0, allow_inf_nan=False, alias="cold-remaining-ms")
    stage: Name | None = None
    models: list[ModelBody] = Field(default=[], max_length=MAX_MODELS)
    sequence: int = Field(ge=0, lt=UNREGISTERED_SEQUENCE)

    @property
    def cold_remaining_s(self) -> float:
        """How much longer the instance stays cold, in seconds; 0 if it is warm or does not report this."""
        return max(0.0, self.cold_remaining_ms or 0.0) / MILLISECONDS

    @field_validator("address")
    @classmethod
    def _validate_address(cls, address: str) -> str:
        """Reject addresses other than an IPv4 address with a valid port: requests would fail or need a DNS lookup."""
        host, port = address.rsplit(":", 1)
        if not 0 < int(port) <= MAX_PORT:
            raise ValueError("the port is not between 1 and 65535")
        IPv4Address(host)
        return address
