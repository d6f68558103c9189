"""The command-line program damaskctl for operators."""
