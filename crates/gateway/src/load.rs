//! The load that a backend server reports in a header of its answers.

use std::ops::RangeInclusive;

use balance::server::ReportedLoad;

/// Figures of how long work takes that are believed, in percent of the usual.
const WORK_PERCENT: RangeInclusive<f64> = 10.0..=10_000.0;

/// What a load header says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReading {
    /// The load; `None` if one of the first three figures is no count.
    pub load: Option<ReportedLoad>,
    /// Whether there is a fourth figure that isn't believed.
    pub is_odd: bool,
}

impl LoadReading {
    /// Reads the value of a load header: running, waiting and slots, and, from some servers, how long work takes.
    pub fn read(value: &str) -> Self {
        let mut figures = value.split(',').map(str::trim);
        let mut count = || figures.next()?.parse().ok();
        let counts = count().zip(count()).zip(count());
        let fourth = value.split(',').nth(3).map(str::trim);
        let work_percent = fourth
            .and_then(|figure| figure.parse::<f64>().ok())
            .filter(|percent| WORK_PERCENT.contains(percent))
            .map(|percent| percent.round() as u32);
        Self {
            load: counts.map(|((running, waiting), slots)| ReportedLoad {
                running,
                waiting,
                slots,
                work_percent,
            }),
            is_odd: fourth.is_some() && work_percent.is_none(),
        }
    }
}
