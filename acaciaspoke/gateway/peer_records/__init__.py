"""Records of streams that a host has other hosts write or keep.

In: a record that the store has not confirmed to this host. Out: whether the
store has it, or other hosts keep it until the store answers them.
"""
