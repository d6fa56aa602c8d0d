//! Settings from flags and environment variables.
//!
//! A program reads each setting `name` from the flag `--name` or else from the environment
//! variable `WISTERIA_NAME` through a [`reader::SettingReader`]. Every fault is collected, so that
//! one start shows all of them.

pub mod list;
pub mod program;
pub mod reader;
pub mod secret;
