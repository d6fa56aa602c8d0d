//! Records of the traffic of a simulation, and its maxima over all 100 ms windows.

use std::collections::BTreeMap;

use model::state::{self, ForceState};

/// Window over which caps and link capacities are checked.
const WINDOW_MS: usize = 100;
const SECOND_MS: usize = 1000;

/// Highest cap that any host has in force by place or region, the shift of each service in requests
/// a second per second, and the capacity of each link in bytes a second.
#[derive(Default)]
pub(crate) struct Caps {
    current: BTreeMap<String, f64>,
    /// Caps that the running update has collected.
    updated: BTreeMap<String, f64>,
    pub(crate) shift: BTreeMap<String, f64>,
    pub(crate) link: BTreeMap<String, f64>,
}

impl Caps {
    pub(crate) fn start_update(&mut self) {
        self.updated.clear();
    }

    pub(crate) fn add_state(&mut self, state: &ForceState) {
        for (name, region) in state::live(&state.regions) {
            self.raise(format!("region {name}"), region.cap);
        }
        for (name, service) in state::live(&state.services) {
            self.shift.insert(name.to_string(), service.shift);
            for (zone, place) in &service.places {
                self.raise(format!("place {name}/{zone}"), place.cap);
            }
        }
        for (name, link) in state::live(&state.links) {
            self.link.insert(name.to_string(), link.mbits * 125_000.0);
        }
    }

    /// Applies the update. A place that no host names any more keeps its cap while its traffic
    /// moves.
    pub(crate) fn finish_update(&mut self) {
        self.current.append(&mut self.updated);
    }

    /// Sets the updated cap of a key, unless it is already higher.
    fn raise(&mut self, key: String, cap: f64) {
        let max_cap = self.updated.entry(key).or_default();
        *max_cap = max_cap.max(cap);
    }
}

/// Requests or bytes of one place, region or link direction in each millisecond, with the cap at
/// the time.
#[derive(Default)]
struct Series {
    counts: Vec<f64>,
    caps: Vec<f64>,
}

#[derive(Default)]
pub(crate) struct Trace {
    pub(crate) caps: Caps,
    /// Time from which growth is measured; it isn't measured if not set.
    pub(crate) growth_from_ms: Option<u64>,
    now_ms: usize,
    /// Time of the last report.
    reported_ms: usize,
    series: BTreeMap<String, Series>,
    sent: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
}

impl Trace {
    pub(crate) fn record_sent(&mut self, service: &str, zone: &str, region: &str) {
        *self.sent.entry(service.to_string()).or_default() += 1;
        self.count(self.now_ms, format!("place {service}/{zone}"), 1.0);
        self.count(self.now_ms, format!("region {region}"), 1.0);
    }

    pub(crate) fn record_refused(&mut self, service: &str) {
        *self.refused.entry(service.to_string()).or_default() += 1;
    }

    pub(crate) fn record_bytes(&mut self, at_ms: u64, from: &str, to: &str, bytes: u64) {
        self.count(at_ms as usize, format!("link {from}>{to}"), bytes as f64);
    }

    /// Records the caps of the current millisecond and advances to the next one.
    pub(crate) fn end_ms(&mut self) {
        for (key, cap) in &self.caps.current {
            let series = self.series.entry(key.clone()).or_default();
            series.caps.resize(self.now_ms, *cap);
            series.caps.push(*cap);
        }
        self.now_ms += 1;
    }

    /// Returns the verdicts on all limits, one per line, and the refused part of each service since
    /// the last report. Measured values go to standard error.
    pub(crate) fn report(&mut self, hosts: usize) -> String {
        let mut lines = Vec::new();
        for (key, series) in &self.series {
            let line = match key.split_once(' ').unwrap() {
                ("place", name) => self.place_line(key, name, series, hosts),
                ("region", _) => cap_line(key, series),
                (_, name) => self.link_line(key, name, series),
            };
            lines.extend(line);
        }
        for (service, sent) in &self.sent {
            let refused = self.refused.get(service).copied().unwrap_or_default();
            let part = 100.0 * refused as f64 / (sent + refused) as f64;
            let rate = (*sent * SECOND_MS as u64) as f64 / (self.now_ms - self.reported_ms) as f64;
            eprintln!("{service}: {rate:.0}/s sent, {part:.1}% refused");
            lines.push(format!("{service}: {}", refused_class(part)));
        }
        self.reported_ms = self.now_ms;
        self.sent.clear();
        self.refused.clear();
        lines.join("\n") + "\n"
    }

    fn count(&mut self, at: usize, key: String, count: f64) {
        let series = self.series.entry(key).or_default();
        if series.counts.len() <= at {
            series.counts.resize(at + 1, 0.0);
        }
        series.counts[at] += count;
    }

    fn place_line(&self, key: &str, name: &str, series: &Series, hosts: usize) -> Option<String> {
        let line = cap_line(key, series)?;
        let shift = self.caps.shift[name.split('/').next().unwrap()];
        let Some(from) = self.growth_from_ms else {
            return Some(line);
        };
        let growth = measured_growth(&series.counts, from as usize) / (shift + hosts as f64);
        let verdict = verdict(&format!("{key} growth"), growth);
        Some(format!("{line}, growth {verdict} the shift"))
    }

    fn link_line(&self, key: &str, name: &str, series: &Series) -> Option<String> {
        let (from, to) = name.split_once('>')?;
        let (a, b) = if from < to { (from, to) } else { (to, from) };
        let capacity = self.caps.link.get(&format!("{a}/{b}"))?;
        let max_ratio = max_window_ratio(&series.counts, |_| *capacity);
        Some(format!("{key}: {} its cap", verdict(key, max_ratio)))
    }
}

fn cap_line(key: &str, series: &Series) -> Option<String> {
    let cap = |at: usize| series.caps.get(at).copied().unwrap_or(f64::INFINITY);
    let max_ratio = max_window_ratio(&series.counts, cap);
    (max_ratio > 0.0).then(|| format!("{key}: {} its cap", verdict(key, max_ratio)))
}

/// Returns the verdict on a measured maximum relative to its limit, and prints the ratio to
/// standard error.
fn verdict(name: &str, ratio: f64) -> &'static str {
    eprintln!("{name}: {:.0}%", ratio * 100.0);
    if ratio > 1.0 + 1e-9 {
        return "BROKEN over";
    }
    "holds under"
}

/// Returns the class of a refused part, in steps of five percent.
fn refused_class(percent: f64) -> String {
    if percent == 0.0 {
        return "none refused".to_string();
    }
    format!("under {}% refused", (percent / 5.0).floor() * 5.0 + 5.0)
}

/// Returns the maximum over all windows of the ratio of the count to what the cap allows. The
/// higher of the caps at the start and at the end of a window counts.
fn max_window_ratio(counts: &[f64], cap: impl Fn(usize) -> f64) -> f64 {
    let mut max_ratio: f64 = 0.0;
    let mut sum = 0.0;
    for end in 0..counts.len() {
        sum += counts[end];
        if end >= WINDOW_MS {
            sum -= counts[end - WINDOW_MS];
        }
        let first = (end + 1).saturating_sub(WINDOW_MS);
        let allowed = (first..=end)
            .step_by(WINDOW_MS - 1)
            .map(&cap)
            .fold(0.0, f64::max);
        max_ratio = max_ratio.max(sum / (allowed * WINDOW_MS as f64 / SECOND_MS as f64));
    }
    max_ratio
}

/// Returns the maximum growth of the count in one second over the count in any second that ended at
/// least a second earlier, for seconds that end after `from`.
fn measured_growth(counts: &[f64], from: usize) -> f64 {
    let mut seconds = Vec::with_capacity(counts.len());
    let mut sum = 0.0;
    for end in 0..counts.len() {
        sum += counts[end];
        if end >= SECOND_MS {
            sum -= counts[end - SECOND_MS];
        }
        seconds.push(sum);
    }
    let mut before: f64 = 0.0;
    let mut growth: f64 = 0.0;
    for end in SECOND_MS..counts.len() {
        before = before.max(seconds[end - SECOND_MS]);
        if end > from {
            growth = growth.max(seconds[end] - before);
        }
    }
    growth
}
