"""Runnable fakes of other systems, from their public descriptions; the product imports none."""
