"""The administration API at a head that owns its accounts."""

from __future__ import annotations

from collections.abc import Callable

from hophinge.admin import openapi
from hophinge.admin.api import AdminApi
from hophinge.admin.clock import steady_us
from hophinge.admin.listener import AdminListener, read_token
from hophinge.core.counters import Counters
from hophinge.core.interface import Settings
from hophinge.head.accounts import HeadAccounts
from hophinge.objects.config import AdminConfig


def administration(
    accounts: HeadAccounts, config: AdminConfig, settings: Settings, counters: Counters, log: Callable[[str], None]
) -> AdminListener:
    """Create the API's listener; raises OSError or ValueError if the token file cannot be used."""
    plans = frozenset(plan.name for plan in settings.plans)
    api = AdminApi(
        accounts.ledger,
        accounts.accounts,
        lambda: plans,
        read_token(config.token_file),
        accounts.now_ms,
        steady_us,
        openapi.encoded_description,
        calls_s=config.calls_s,
    )
    return AdminListener(api, counters, log)
