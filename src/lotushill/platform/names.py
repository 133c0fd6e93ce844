"""Names of the platform's headers, paths, object kinds and objects."""

from __future__ import annotations

# Headers of requests, in lower case.
REQUEST_ID = "attempt-id"
DEADLINE_MS = "deadline-ms"
PROMPT_PARTS = "prompt-prefix"
MODEL = "model"
TOKEN_USAGE = "token-usage"
LENGTH_HINT = "length-hint"
LAST_EVENT_ID = "last-event-id"
RESUMES = "resumes"
AUTHORIZATION = "authorization"
TENANT = "tenant"
TARGET_INSTANCE = "target-instance"
PRIORITY = "request-priority"
HOLD = "hold"
PIN_MS = "pin-ms"
EXPECT_VERSION = "expect-version"
KV_BACKUP = "kv-backup"
KV_FETCH = "kv-fetch"
KV_FROM = "kv-from"

# Headers of calls that one gateway makes for the whole fleet, in lower case.
LEASE_HOLDER = "lease-holder"
FENCING_TOKEN = "fencing-token"

# Headers of answers, in lower case.
SIGNATURE = "response-signature"
NOT_EXECUTED = "not-executed"
RETRY_AFTER = "retry-after"
SERVER_LEAVING = "server-leaving"
SERVER_LIMIT = "server-limit"
SERVER_BRITTLE = "server-brittle"
INSTANCE_ID = "instance-id"

# Kinds, objects and fields of the store.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
BACKEND_KIND = "servers"
DRAINING = "draining"
COLD_MS = "coldRemainingMs"
LEAVES_MS = "leaves_ms"
SEQUENCE = "seqNo"
STATES = frozenset(("ready", DRAINING))

# Paths of calls that one gateway makes for the whole fleet.
USAGE_PATH = "/usage"
ORDER_PATH = "/scale"

# Paths of backends.
HEALTH_PATH = "/health"
REPORT_PATH = "/report"
