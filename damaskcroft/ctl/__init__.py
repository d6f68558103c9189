"""The program damaskctl: the operator's shell."""
