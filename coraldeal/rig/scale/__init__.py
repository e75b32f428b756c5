"""The scale run: thousands of hollow nodes beside a few real ones follow one source through its troubles."""
