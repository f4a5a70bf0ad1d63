"""What a head is started with: its configuration file, what the environment overrides, and the operator's file."""

from __future__ import annotations

import resource
from collections.abc import Mapping
from pathlib import Path

import msgspec

from hophinge.core import interface as api
from hophinge.core.errors import HophingeError
from hophinge.core.settings import read_settings
from hophinge.head.environment import CONFIG_FILE, OPERATOR_FILE
from hophinge.head.operator_config import OperatorConfig
from hophinge.head.operator_config import load as load_operator
from hophinge.net.address import split
from hophinge.net.discovery import Listing, RawListing, parse_listing


class ConfigError(HophingeError):
    """A configuration that a head cannot start from."""

    code = "configuration-unusable"
    remedy = "Mend the file or variable that is named and start the head again; it has taken nothing."


class ReloadError(ConfigError):
    """A configuration that a running head turns down at SIGHUP."""

    code = "reload-refused"
    remedy = "Mend the file that is named and send SIGHUP again; the head goes on with what it had."


class Limits(msgspec.Struct):
    """What the machine allows."""

    sockets: int = 1024
    cores: float = 1.0
    memory_mb: float = 192


class Config(msgspec.Struct):
    """The head's configuration file."""

    listen: str
    discovery: str
    seed: str
    settings: msgspec.Raw
    known: Listing
    limits: Limits = msgspec.field(default_factory=Limits)
    name: str = ""
    control: str = ""
    accept_fd: int | None = None  # told by the environment alone


def address(text: str) -> tuple[str, int]:
    """Split host:port."""
    try:
        return split(text)
    except ValueError as error:
        raise ConfigError(str(error)) from error


def read_config(path: str) -> Config:
    """Read the configuration file."""
    try:
        parts = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, msgspec.Raw])
        if "known" in parts:
            parts["known"] = msgspec.Raw(msgspec.json.encode(_saved(bytes(parts["known"]))))
        config = msgspec.json.decode(msgspec.json.encode(parts), type=Config)
        address(config.listen), address(config.discovery)
    except (OSError, ValueError, RecursionError, msgspec.MsgspecError, ConfigError) as error:
        raise ConfigError(f"{CONFIG_FILE} {path!r}: {error}") from error
    return config


def _saved(known: bytes) -> Listing:
    """Read the list as the head had it last, as discovery's own: a malformed entry keeps no head from starting.

    One that lacks entries is not whole, so that discovery is asked for all of it.
    """
    try:
        listing, left_out = parse_listing(known)
    except msgspec.MsgspecError:
        msgspec.json.decode(known, type=RawListing)  # what is no list at all is a slip in the file
        return Listing(0, [])
    return Listing(listing.rev, listing.targets, listing.all and not left_out)


def load(environ: Mapping[str, str]) -> tuple[Config, api.Settings, OperatorConfig]:
    """Read the configuration and the operator's file that the environment names."""
    path = environ.get(CONFIG_FILE, "")
    config = read_config(path)
    try:
        config.listen = environ.get("EDGE_LISTEN") or config.listen
        config.discovery = environ.get("EDGE_DISCOVERY") or config.discovery
        config.control = environ.get("EDGE_CONTROL") or config.control
        if text := environ.get("EDGE_ACCEPT_FD"):
            config.accept_fd = int(text)
        for one in (config.listen, config.discovery, *filter(None, [config.control])):
            address(one)
        int(config.seed, 16)
        settings = read_settings(bytes(config.settings))
        # Shares of descriptors that the system does not give would leave none for backends and discovery.
        most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if most != resource.RLIM_INFINITY:
            config.limits.sockets = min(config.limits.sockets, most)
    except (ValueError, ConfigError) as error:
        raise ConfigError(f"{CONFIG_FILE} {path!r}: {error}") from error
    path = environ.get(OPERATOR_FILE, "")
    if not path:
        return config, settings, OperatorConfig()
    try:
        return config, settings, load_operator(path)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise ConfigError(f"{OPERATOR_FILE} {path!r}: {error}") from error
