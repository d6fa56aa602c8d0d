//! Starts the system's processes for tests on loopback.
