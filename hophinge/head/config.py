"""A head's configuration: its configuration file, the overrides by the environment, and the operator's file."""

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
    remedy = "Correct the named file or variable and start the head again; it has accepted no requests."


class ReloadError(ConfigError):
    """A configuration file that a running head rejects at SIGHUP."""

    code = "reload-refused"
    remedy = "Correct the named file and send SIGHUP again; the head keeps its former configuration."


class Limits(msgspec.Struct):
    """The resources of the machine that a head may use."""

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
    accept_fd: int | None = None  # an inherited listening socket, set by EDGE_ACCEPT_FD


def address(text: str) -> tuple[str, int]:
    """Split host:port; raises ConfigError."""
    try:
        return split(text)
    except ValueError as error:
        raise ConfigError(str(error)) from error


def read_config(path: str) -> Config:
    """Read and check the configuration file; raises ConfigError with its path."""
    try:
        fields = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, msgspec.Raw])
        if "known" in fields:
            fields["known"] = msgspec.Raw(msgspec.json.encode(_parse_saved(bytes(fields["known"]))))
        config = msgspec.json.decode(msgspec.json.encode(fields), type=Config)
        address(config.listen), address(config.discovery)
    except (OSError, ValueError, RecursionError, msgspec.MsgspecError, ConfigError) as error:
        raise ConfigError(f"{CONFIG_FILE} {path!r}: {error}") from error
    return config


def _parse_saved(known: bytes) -> Listing:
    """Parse the saved list of backends like one from discovery: a malformed entry does not prevent the start.

    A list with entries left out counts as incomplete, so that a complete one is requested from discovery.
    """
    try:
        listing, left_out = parse_listing(known)
    except msgspec.MsgspecError:
        # Raises for a value that is not a list, which is an error in the file.
        msgspec.json.decode(known, type=RawListing)
        return Listing(0, [])
    return Listing(listing.rev, listing.targets, listing.all and not left_out)


def load(environ: Mapping[str, str]) -> tuple[Config, api.Settings, OperatorConfig]:
    """Return the configuration, its scheduler settings and the operator's file, as the environment names them."""
    path = environ.get(CONFIG_FILE, "")
    config = read_config(path)
    try:
        config.listen = environ.get("EDGE_LISTEN") or config.listen
        config.discovery = environ.get("EDGE_DISCOVERY") or config.discovery
        config.control = environ.get("EDGE_CONTROL") or config.control
        if text := environ.get("EDGE_ACCEPT_FD"):
            config.accept_fd = int(text)
        for endpoint in (config.listen, config.discovery, *filter(None, [config.control])):
            address(endpoint)
        int(config.seed, 16)
        settings = read_settings(bytes(config.settings))
        # Dividing more descriptors than the system allows would leave none for backends and discovery.
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_descriptors != resource.RLIM_INFINITY:
            config.limits.sockets = min(config.limits.sockets, max_descriptors)
    except (ValueError, ConfigError) as error:
        raise ConfigError(f"{CONFIG_FILE} {path!r}: {error}") from error
    path = environ.get(OPERATOR_FILE, "")
    if not path:
        return config, settings, OperatorConfig()
    try:
        return config, settings, load_operator(path)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise ConfigError(f"{OPERATOR_FILE} {path!r}: {error}") from error
