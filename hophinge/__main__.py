"""The real head: ``python -m hophinge``. With words it is the command line: ``python -m hophinge check FILE``."""

from __future__ import annotations

import gc
import signal
import sys

if len(sys.argv) > 1:
    from hophinge.cli.main import main as command

    sys.exit(command())

# SIGHUP's default ends the program. Blocked before the slow imports, one that comes early waits until the service
# has its handler, and is then a reload like any other.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

# What imports make is not garbage; looking for some costs a fifth of them. The service looks once it has started.
gc.disable()

from hophinge.head.main_import import import_main  # noqa: E402

sys.exit(import_main()())
