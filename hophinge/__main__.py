"""The real head: ``python -m hophinge``."""

from __future__ import annotations

import sys

from hophinge.net.service import main

sys.exit(main())
