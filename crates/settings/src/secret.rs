//! The access token, read from a file or an environment variable.

use std::fs;

use crate::reader::SettingReader;

/// Minimum length of the token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Description of a valid token, as shown in the validation error.
const ALLOWED_TOKENS: &str = "at least 16 printable characters without spaces, in WISTERIA_TOKEN or in the file of --token-file";

/// Reads the access token from the file named by `--token-file`, or else from `WISTERIA_TOKEN`.
///
/// Adds a validation error to the reader and returns `None` if the token is missing or invalid. The
/// error never contains the token.
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
        reader.fault("token-file", "(not shown)", ALLOWED_TOKENS);
        return None;
    }
    Some(token)
}
