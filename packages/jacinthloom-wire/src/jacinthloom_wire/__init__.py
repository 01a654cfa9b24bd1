"""Codecs, peer streams, HTTP server and clients of peers, callers and the platform."""

from __future__ import annotations
