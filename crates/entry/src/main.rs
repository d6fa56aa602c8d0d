//! The `wisteria-entry` program.

fn main() {}
