//! Exit codes.

/// Exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command is done.
    Done = 0,
    /// A ticket was refused, a file has faults, or the thing asked for isn't there.
    Refused = 1,
    /// The arguments or settings are wrong.
    Usage = 2,
    /// No verdict or answer came: resend the same ticket.
    Unknown = 3,
}
