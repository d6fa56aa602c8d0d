//! Exit codes.

/// Exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// A ticket was refused, a file has faults, or the requested object or ticket doesn't exist.
    Refused = 1,
    /// The arguments or settings are invalid, or a file can't be read.
    Usage = 2,
    /// No verdict or answer arrived in time; it is safe to resend the same ticket.
    Unknown = 3,
}
