//! Detection of pauses of the process.

use std::sync::{Mutex, MutexGuard, PoisonError};
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

/// Time for which the process ran: a clock that stands still while the process is paused.
///
/// A task that does nothing but wake up in short intervals ticks the clock. Any task may read it, also one that
/// wakes up from a pause before that task does.
#[derive(Debug)]
pub struct AwakeClock {
    state: Mutex<AwakeState>,
}

#[derive(Debug)]
struct AwakeState {
    detector: PauseDetector,
    /// Length of all pauses so far.
    paused: Duration,
}

impl AwakeClock {
    /// Creates a clock, which notices pauses from its first tick on.
    pub fn new() -> Self {
        Self {
            state: Mutex::new(AwakeState {
                detector: PauseDetector::new(Duration::MAX),
                paused: Duration::ZERO,
            }),
        }
    }

    /// Records that the ticking task is awake at `boot_time`, and waits for `wait` at the longest. Returns the
    /// length of the pause that has ended, if there was one.
    pub fn tick(&self, boot_time: Duration, wait: Duration) -> Option<Duration> {
        let mut state = self.state();
        let pause = state.detector.end_wait(boot_time);
        state.paused += pause.unwrap_or_default();
        state.detector.begin_wait(boot_time, wait);
        pause
    }

    /// Returns the time of the clock at `boot_time`.
    pub fn at(&self, boot_time: Duration) -> Duration {
        let state = self.state();
        let current = state.detector.end_wait(boot_time).unwrap_or_default();
        boot_time.saturating_sub(state.paused + current)
    }

    /// Returns the time of the clock now.
    pub fn now(&self) -> Duration {
        self.at(boot_time())
    }

    fn state(&self) -> MutexGuard<'_, AwakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for AwakeClock {
    fn default() -> Self {
        Self::new()
    }
}
