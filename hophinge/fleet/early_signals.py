"""Ignores SIGHUP while the process starts: its default action would end the process before a handler is installed.

Import this module before modules that take long to load. A SIGHUP ignored here loses nothing, because the settings
are also reread every few seconds.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
