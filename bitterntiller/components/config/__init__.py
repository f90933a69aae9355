"""The configuration of services, workspaces and tiers: its schema and meaning."""
