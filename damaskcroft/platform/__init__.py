"""Adapters for the users' platform: settings file, HTTP bodies and headers.

The modules translate between the platform's wire names and the product's
types. They keep no state and contain no retries or policy.
"""
