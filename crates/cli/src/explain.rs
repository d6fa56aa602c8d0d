//! What became of a request, from the logs of all processes: its own lines, what else is logged about
//! the backend servers that it was sent to, and the events of the same seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use serde::Serialize;

use crate::error::ClientError;
use crate::logs::{LogFiles, LogLine};

/// Parts whose lines tell events of the control replicas and of the processes.
const EVENT_PARTS: [&str; 6] = ["state", "quorum", "hosts", "store", "process", "calls"];

/// Parts whose lines tell events of one entry host.
const HOST_PARTS: [&str; 3] = ["follow", "routes", "server"];

/// Time before a request whose events are shown.
const EVENTS_BEFORE: Duration = Duration::from_secs(2);

/// Time after a request whose events are shown.
const EVENTS_AFTER: Duration = Duration::from_millis(500);

/// Time before a request from which the lines about its backend servers are shown.
const SERVER_HISTORY: Duration = Duration::from_secs(60);

/// Time within which the same event at several processes is shown once.
const SAME_EVENT_TIME: Duration = Duration::from_secs(1);

/// Most events that are shown.
const MAX_EVENTS: usize = 100;

/// A log line, with its time relative to the start of the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExplainedLine {
    /// Milliseconds since the start of the request; negative before it.
    pub offset_ms: i64,
    /// Process that logged the line.
    pub source: String,
    /// Number of other processes that logged the same.
    pub others: usize,
    /// Part of the program.
    pub part: String,
    /// Message without its fields.
    pub message: String,
    /// Fields by name.
    pub fields: BTreeMap<String, String>,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Id of the request.
    pub request: String,
    /// What happened, in sentences, in time order.
    pub summary: Vec<String>,
    /// Lines about the request.
    pub lines: Vec<ExplainedLine>,
    /// Lines about the backend servers that it was sent to.
    pub servers: Vec<ExplainedLine>,
    /// Other events around the request.
    pub events: Vec<ExplainedLine>,
    /// Number of events that were left out.
    pub omitted_events: usize,
    /// Number of events about other backend servers, by message.
    pub other_servers: BTreeMap<String, usize>,
    /// Number of lines that concern the request but can't be read.
    pub unreadable_lines: usize,
}

/// Gathers what the logs in `paths` tell about a request.
///
/// # Errors
///
/// Returns [`ClientError::File`] if a path can't be read, and [`ClientError::Refused`] if no line tells
/// of the request.
pub fn explain(request: &str, paths: &[PathBuf]) -> Result<RequestExplanation, ClientError> {
    let files = LogFiles::find(paths)?;
    let mut lines = Vec::new();
    let unreadable_lines = files.scan(
        |text| text.contains(request),
        |line| {
            if line.field("request") == Some(request) {
                lines.push(line);
            }
        },
    )?;
    lines.sort_by(|a, b| (a.time, &a.source).cmp(&(b.time, &b.source)));
    let (Some(start), Some(end)) = (
        lines.iter().map(start_of).min(),
        lines.iter().map(|line| line.time).max(),
    ) else {
        return Err(ClientError::Refused(format!(
            "no log line tells of the request {request}"
        )));
    };
    let surroundings = Surroundings::scan(&files, &lines, start, end)?;
    let summary = summarize(&lines, &surroundings.servers);
    let explained = |lines: &[LogLine]| merge_same(start, lines);
    let mut events = explained(&surroundings.events);
    let omitted_events = events.len().saturating_sub(MAX_EVENTS);
    events.truncate(MAX_EVENTS);
    Ok(RequestExplanation {
        request: request.to_string(),
        summary,
        lines: explained(&lines),
        servers: explained(&surroundings.servers),
        events,
        omitted_events,
        other_servers: count_by_message(&merge_same(start, &surroundings.other_servers)),
        unreadable_lines,
    })
}

/// Lines around a request that don't name it, in time order.
struct Surroundings {
    /// Lines about the backend servers that the request was sent to.
    servers: Vec<LogLine>,
    /// Lines about other backend servers.
    other_servers: Vec<LogLine>,
    events: Vec<LogLine>,
}

impl Surroundings {
    fn scan(
        files: &LogFiles,
        lines: &[LogLine],
        start: SystemTime,
        end: SystemTime,
    ) -> Result<Self, ClientError> {
        let tried: BTreeSet<_> = lines
            .iter()
            .filter_map(|line| line.field("server"))
            .collect();
        let hosts: BTreeSet<_> = lines.iter().map(|line| line.source.as_str()).collect();
        let parts: Vec<_> = EVENT_PARTS
            .iter()
            .chain(&HOST_PARTS)
            .map(|part| format!("\"part\":\"{part}\""))
            .collect();
        let mut found = Self {
            servers: Vec::new(),
            other_servers: Vec::new(),
            events: Vec::new(),
        };
        let (from, until) = (start - EVENTS_BEFORE, end + EVENTS_AFTER);
        files.scan(
            |text| parts.iter().any(|part| text.contains(part)),
            |line| {
                let is_host_part = HOST_PARTS.contains(&line.part.as_str());
                if is_host_part && !hosts.contains(line.source.as_str()) {
                    return;
                }
                let server = line.field("server");
                let (list, from) = match server {
                    Some(server) if tried.contains(server) => {
                        (&mut found.servers, start - SERVER_HISTORY)
                    }
                    Some(_) => (&mut found.other_servers, from),
                    None => (&mut found.events, from),
                };
                if (from..=until).contains(&line.time) {
                    list.push(line);
                }
            },
        )?;
        let by_time = |a: &LogLine, b: &LogLine| (a.time, &a.source).cmp(&(b.time, &b.source));
        found.servers.sort_by(by_time);
        found.other_servers.sort_by(by_time);
        found.events.sort_by(by_time);
        Ok(found)
    }
}

/// Returns the time at which what a line tells began: attempts are logged when they end.
fn start_of(line: &LogLine) -> SystemTime {
    let took = line.milliseconds("took_ms").unwrap_or_default();
    line.time - Duration::from_millis(took)
}

/// Converts lines, and merges those that several processes logged alike.
fn merge_same(start: SystemTime, lines: &[LogLine]) -> Vec<ExplainedLine> {
    let mut merged: Vec<(SystemTime, ExplainedLine)> = Vec::new();
    for line in lines {
        let same = merged.iter_mut().rev().find(|(time, known)| {
            line.time <= *time + SAME_EVENT_TIME
                && known.source != line.source
                && known.part == line.part
                && known.message == line.message
                && known.fields == line.fields
        });
        if let Some((_, known)) = same {
            known.others += 1;
            continue;
        }
        let explained = ExplainedLine {
            offset_ms: offset_ms(start, line.time),
            source: line.source.clone(),
            others: 0,
            part: line.part.clone(),
            message: line.message.clone(),
            fields: line.fields.clone(),
        };
        merged.push((line.time, explained));
    }
    merged.into_iter().map(|(_, line)| line).collect()
}

fn count_by_message(lines: &[ExplainedLine]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in lines {
        *counts.entry(line.message.clone()).or_default() += 1;
    }
    counts
}

fn offset_ms(start: SystemTime, time: SystemTime) -> i64 {
    let millis = |period: Duration| i64::try_from(period.as_millis()).unwrap_or(i64::MAX);
    match time.duration_since(start) {
        Ok(after) => millis(after),
        Err(before) => -millis(before.duration()),
    }
}

/// Tells in sentences what the lines about a request say.
fn summarize(lines: &[LogLine], servers: &[LogLine]) -> Vec<String> {
    let mut sentences = Vec::new();
    for line in lines {
        let field = |name: &str| line.field(name).unwrap_or("unknown");
        match line.part.as_str() {
            "refusal" => sentences.push(describe_refusal(line)),
            "access" => sentences.push(describe_access(line)),
            "attempt" => {
                let server = field("server");
                sentences.push(format!(
                    "{}: the attempt at {server} ended as {} after {} ms; {} ms were expected \
                     (affinity {}, load {}).",
                    line.source,
                    field("end"),
                    field("took_ms"),
                    field("expected_ms"),
                    field("affinity"),
                    field("load"),
                ));
                sentences.extend(latest_about(server, start_of(line), servers));
            }
            "request" => sentences.push(format!(
                "{}: the host answered {} itself: {}.",
                line.source,
                field("status"),
                field("cause").trim_matches('"'),
            )),
            _ => {}
        }
    }
    let last = lines
        .iter()
        .rev()
        .find(|line| ["attempt", "request"].contains(&line.part.as_str()));
    if last.is_some_and(|line| line.part == "attempt" && line.field("end") != Some("answered")) {
        sentences.push("No answer is logged: the caller probably left before it.".to_string());
    }
    sentences
}

fn describe_refusal(line: &LogLine) -> String {
    let field = |name: &str| line.field(name).unwrap_or("unknown");
    let start = format!(
        "{}: no server was taken, cause {}, with {} candidates after {} attempts",
        line.source,
        field("cause"),
        field("candidates"),
        field("tried"),
    );
    match line.field("soonest_ms") {
        Some(_) if line.field("cause") == Some("held-back") => {
            format!("{start}: a retry or hedge gave way to first attempts, or would have ended too late.")
        }
        Some(soonest) if line.field("cause") == Some("outranked") => format!(
            "{start}; the soonest answer was expected in {soonest} ms, and requests of its rank {} were \
             taken within {} ms, as more urgent ones came to the service.",
            field("rank"),
            field("limit_ms"),
        ),
        Some(soonest) => format!(
            "{start}; the soonest answer was expected in {soonest} ms, within {} ms it would have \
             been taken.",
            field("limit_ms"),
        ),
        None => format!("{start}."),
    }
}

/// Tells why a request was refused for its key, its home regions or its organisation's quota.
fn describe_access(line: &LogLine) -> String {
    let field = |name: &str| line.field(name).unwrap_or("unknown");
    let (source, version) = (&line.source, field("version"));
    if let Some(status) = line.field("status") {
        let confirmed = match field("age_ms") {
            "-1" => "was never confirmed".to_string(),
            age => format!("had been confirmed {age} ms before"),
        };
        let what = if status == "401" {
            "no organisation held its key"
        } else {
            "the host couldn't tell whether an organisation holds its key"
        };
        return format!("{source}: {what}, by configuration {version}, which {confirmed}.");
    }
    if let Some(route) = line.field("route") {
        return format!(
            "{source}: the route {route} and the organisation {} have no home region in common in \
             configuration {version}.",
            field("organisation"),
        );
    }
    format!(
        "{source}: the quota of the organisation {} in configuration {version} was used up; this host's \
         share was {} requests a second, as it knew {} ms before; a retry was to come after {} ms.",
        field("organisation"),
        field("share"),
        field("age_ms"),
        field("retry_after_ms"),
    )
}

/// Tells the latest event about a server before an attempt at it, with its age.
fn latest_about(server: &str, before: SystemTime, lines: &[LogLine]) -> Option<String> {
    let mut about = lines.iter().rev();
    let line = about.find(|line| line.field("server") == Some(server) && line.time <= before)?;
    let age = before.duration_since(line.time).unwrap_or_default();
    Some(format!(
        "{}: {} of {server} {} ms before that attempt began.",
        line.source,
        line.message,
        age.as_millis(),
    ))
}
