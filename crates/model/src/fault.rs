//! Validation errors of tickets, announcements and settings.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A validation error: the field, the value that was given and what is allowed there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InputFault {
    /// Path of the field, such as `service.ascent-lookup.places.altiplano-a.cap`.
    pub field: String,
    /// Value as given, truncated to [`InputFault::MAX_VALUE_BYTES`].
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl InputFault {
    /// Maximum length of the value that an error repeats, in bytes.
    pub const MAX_VALUE_BYTES: usize = 120;

    /// Creates a validation error for a field; a long value is truncated.
    pub fn new(
        field: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: truncate(value.to_string()),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for InputFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {:?} is not allowed: {}",
            self.field, self.value, self.allowed
        )
    }
}

/// Truncates a value to [`InputFault::MAX_VALUE_BYTES`] at a character boundary and appends `…`.
fn truncate(mut value: String) -> String {
    if value.len() <= InputFault::MAX_VALUE_BYTES {
        return value;
    }
    let mut end = InputFault::MAX_VALUE_BYTES;
    while !value.is_char_boundary(end) {
        end -= 1;
    }
    value.truncate(end);
    value.push('…');
    value
}
