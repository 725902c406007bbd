"""Which services each node holds, and how their changes reach the nodes that hold them."""
