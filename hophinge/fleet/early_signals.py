"""Ignores SIGHUP from the first moment of a process: until its handler is there, the default would end the process.

Imported before modules that take long to load. The settings are reread every few seconds, so nothing is missed.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
