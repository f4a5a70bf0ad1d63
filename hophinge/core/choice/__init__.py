"""The scheduler: a key is hashed to a group of nodes, and a new object goes to the one that is free earliest."""

from hophinge.core.choice.dispatcher import GROUP_SIZE as GROUP_SIZE
from hophinge.core.choice.gateway_state import (
    MAX_IN_FLIGHT as MAX_IN_FLIGHT,
    MAX_IN_FLIGHT_OF_ALL as MAX_IN_FLIGHT_OF_ALL,
)
from hophinge.core.choice.scheduler import Scheduler as Scheduler
