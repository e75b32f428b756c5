"""The scale run: thousands of hollow nodes and a few real ones follow one list source while faults occur."""
