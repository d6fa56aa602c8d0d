//! Detection of pauses of the process.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

/// Delay of a wake-up from which the process counts as paused.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(500);

/// Returns the time since the machine was started, including the time for which it was suspended. The
/// steady clock of the runtime stands still during that time.
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.try_into().unwrap_or_default(),
        time.tv_nsec.try_into().unwrap_or_default(),
    )
}

/// Detects that a task was woken much later than it asked for: the process was stopped, the machine was
/// suspended, or there was no processor time.
#[derive(Debug)]
pub struct PauseDetector {
    /// Boot time at which the task expects to be awake again at the latest.
    expected: Duration,
}

impl PauseDetector {
    /// Creates a detector for a task that is awake at `boot_time`.
    pub fn new(boot_time: Duration) -> Self {
        Self {
            expected: boot_time,
        }
    }

    /// Records that the task waits from `boot_time` on for `wait` at the longest.
    pub fn begin_wait(&mut self, boot_time: Duration, wait: Duration) {
        self.expected = boot_time.saturating_add(wait);
    }

    /// Returns by how much the task is late at `boot_time`, if that is a pause.
    pub fn end_wait(&self, boot_time: Duration) -> Option<Duration> {
        let delay = boot_time.saturating_sub(self.expected);
        (delay > MAX_WAKE_DELAY).then_some(delay)
    }
}
