"""What is handed to other proxies: plans, pictures, drains, load reports, pacing."""
