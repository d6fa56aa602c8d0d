//! Control replica daemon.
