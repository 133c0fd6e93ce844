"""Which service a request goes to: routes, services, tenants and limits."""

from __future__ import annotations
