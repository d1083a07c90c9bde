"""Serves language models on reclaimable VMs for joint ventures."""
