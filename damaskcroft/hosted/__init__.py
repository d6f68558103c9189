"""The programs as a platform runs them: assembly, no policy of their own."""
