"""Names of the environment variables with a head's files, in a module that imports nothing."""

from __future__ import annotations

CONFIG_FILE = "EDGE_CONFIG"
OPERATOR_FILE = "HOPHINGE_OPERATOR_FILE"
