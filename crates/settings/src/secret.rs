//! The token, from the environment or a file.

use std::fs;

use crate::reader::SettingReader;

/// Least length of a token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

const ALLOWED: &str = "at least 16 printable characters without spaces, in WISTERIA_TOKEN or in the file of --token-file";

/// Takes the token from the file of `--token-file`, or else from `WISTERIA_TOKEN`.
///
/// A fault never shows the token.
pub fn read_token(reader: &mut SettingReader) -> Option<String> {
    let token = match reader.optional("token-file", SettingReader::path) {
        Some(path) => match fs::read_to_string(&path) {
            Ok(text) => text.trim().to_string(),
            Err(e) => {
                let value = format!("{}: {e}", path.display());
                reader.fault("token-file", &value, "a file that can be read");
                return None;
            }
        },
        None => reader.variable("token").unwrap_or_default(),
    };
    let printable = token.bytes().all(|byte| byte.is_ascii_graphic());
    if token.len() < MIN_TOKEN_BYTES || !printable {
        reader.fault("token-file", "(not shown)", ALLOWED);
        return None;
    }
    Some(token)
}
