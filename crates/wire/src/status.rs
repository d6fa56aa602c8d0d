//! Statuses of answers.

use hyper::StatusCode;

/// Returns whether a status ends an exchange: it is neither informational nor above the classes of HTTP.
///
/// The HTTP library passes on statuses up to 999, and 101 also where no request asked for another protocol.
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}
