//! The `wisteria` program.

fn main() {}
