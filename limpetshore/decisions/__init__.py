"""Decide on admission, balancing and rates, without input or output."""
