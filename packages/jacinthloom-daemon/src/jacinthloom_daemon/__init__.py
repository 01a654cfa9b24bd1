"""The entry process: an asyncio runtime around the reducer of one member."""

from __future__ import annotations
