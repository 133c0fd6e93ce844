"""Stand-ins that emulate the platform, engines and plain services, for tests and the demo."""

from __future__ import annotations
