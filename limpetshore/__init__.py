"""Control overload in service call graphs, one node beside each server."""

__version__ = '0.1.0'
