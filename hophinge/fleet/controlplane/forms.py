"""The JSON bodies that instances send."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, Field


class ModelForm(BaseModel):
    """A model that an instance serves."""

    name: str
    version: int = 1


class Heartbeat(BaseModel):
    """A heartbeat; fields that are not known here are ignored."""

    service: str
    address: str = Field(pattern=r"^[^\s:]+:[0-9]{1,5}$")
    zone: str = ""
    version: str = ""
    slots: int = Field(default=1, ge=0)
    state: Literal["ready", "draining"] = "ready"
    stage: str | None = None
    models: list[ModelForm] = []
    sequence: int = Field(ge=0)
