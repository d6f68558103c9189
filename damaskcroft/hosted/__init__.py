"""Entry points of the programs on the platform: assembly without policy."""
