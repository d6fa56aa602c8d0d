//! Holds what is in force and streams it between processes.
