"""The users' platform: its settings file and its names on the wire.

Everything here translates between the platform's words and the product's
types. Nothing here decides, retries or remembers.
"""
