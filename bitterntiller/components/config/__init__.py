"""The configuration of services, workspaces and tiers: schema and data types."""
