//! The `wisteria-control` program.

fn main() {}
