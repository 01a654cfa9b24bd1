"""Stand-ins for the platform with fault switches, and a cluster of processes."""
