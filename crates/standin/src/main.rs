//! The `wisteria-standin` program.

fn main() {}
