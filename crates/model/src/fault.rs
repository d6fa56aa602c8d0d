//! Faults found in input.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One fault of an input: the field, the value that it has and what is allowed there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InputFault {
    /// Path of the field, such as `service.ascent-lookup.places.altiplano-a.cap`.
    pub field: String,
    /// Value as it was given.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl InputFault {
    /// Greatest length of a value that is repeated in a message, in bytes.
    pub const MAX_VALUE_BYTES: usize = 120;

    /// Creates a fault of the named field.
    pub fn new(
        field: impl Into<String>,
        value: impl fmt::Display,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: shorten(value.to_string()),
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

/// Cuts a value to [`InputFault::MAX_VALUE_BYTES`] at a character boundary.
fn shorten(mut value: String) -> String {
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
