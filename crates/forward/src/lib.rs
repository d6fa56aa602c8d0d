//! Request path from callers to backend servers.
