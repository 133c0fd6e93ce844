"""Datagrams, stored objects and settings files of an earlier build, kept byte for byte.

A renamed field of a message, a stored object or a settings file would pass every test that writes
and reads with the same build, and would be lost between two builds in one fleet.
"""

from __future__ import annotations
