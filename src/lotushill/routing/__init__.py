"""Which service a request goes to: routes, services, teams and limits."""

from __future__ import annotations
