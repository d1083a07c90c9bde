"""Tests of ``mallowspindle.intake``."""
