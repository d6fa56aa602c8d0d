//! Entry host daemon.
