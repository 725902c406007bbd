"""The endpoint list: merging several sources, sharing it among nodes, and polling for it."""
