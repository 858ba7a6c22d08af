"""Admission, balancing and rate decisions, without input or output."""
