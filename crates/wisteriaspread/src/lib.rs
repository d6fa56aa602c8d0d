//! Umbrella package of the global traffic steering system.
//!
//! It depends on library crates of the system and defines no items of its own.
