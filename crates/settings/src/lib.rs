//! Settings from flags and environment variables.
//!
//! A program reads each setting `name` from the flag `--name`, or else from the environment
//! variable `WISTERIA_NAME`, with a [`reader::SettingReader`]. The reader collects all validation
//! errors, so that one start of the program reports all of them.
//!
//! | module | contents |
//! |---|---|
//! | [`reader`] | reader of settings, and parsers of their values |
//! | [`secret`] | the access token |
//! | [`program`] | reading of all settings at the start of a program |
//! | [`help`] | help text of a program |

pub mod help;
pub mod program;
pub mod reader;
pub mod secret;
