"""The soak: seeded experiments that combine injected faults, failing system calls and clock steps."""
