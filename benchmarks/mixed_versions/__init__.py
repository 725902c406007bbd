"""Whether two versions of the program run side by side; `__main__` says what is checked."""
