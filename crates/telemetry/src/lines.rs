//! Logs as JSON lines on standard output, written by a thread so that no task waits for them.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender, TrySendError};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Lines that wait for the writer; more are dropped and counted.
const MAX_WAITING: usize = 2_048;

/// Lines below a warning that a process writes in a second; more are dropped and counted.
const MAX_PER_SECOND: u64 = 400;

/// Longest wait for the writer at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

static LINES: OnceLock<LineLogger> = OnceLock::new();

enum LineMessage {
    Line(String),
    Flush(SyncSender<()>),
}

struct LineLogger {
    lines: SyncSender<LineMessage>,
    level: LevelFilter,
    dropped: AtomicU64,
    start: Instant,
    /// Second since the start in the upper half, lines in it in the lower one.
    written: AtomicU64,
}

/// Starts logging for the process. A second call changes nothing.
pub fn start(level: LevelFilter) {
    let (lines, queue) = mpsc::sync_channel(MAX_WAITING);
    let writer = std::thread::Builder::new().name("log".to_string());
    let spawned = writer.spawn(move || write_lines(&queue));
    if spawned.is_err() {
        return;
    }
    let logger = LINES.get_or_init(|| LineLogger {
        lines,
        level,
        dropped: AtomicU64::new(0),
        start: Instant::now(),
        written: AtomicU64::new(0),
    });
    if log::set_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}

/// Waits until the lines so far are written.
pub fn flush() {
    let Some(logger) = LINES.get() else {
        return;
    };
    let (done, written) = mpsc::sync_channel(1);
    if logger.lines.try_send(LineMessage::Flush(done)).is_ok() {
        let _ = written.recv_timeout(FLUSH_LIMIT);
    }
}

fn write_lines(queue: &mpsc::Receiver<LineMessage>) {
    while let Ok(message) = queue.recv() {
        let mut out = std::io::stdout().lock();
        // A log that can't be written has nowhere else to be told.
        match message {
            LineMessage::Line(line) => {
                let _ = out.write_all(line.as_bytes());
            }
            LineMessage::Flush(done) => {
                let _ = out.flush();
                let _ = done.send(());
            }
        }
        let _ = out.flush();
    }
}

impl LineLogger {
    /// Counts a line; tells whether the present second has room for it.
    fn has_room(&self) -> bool {
        let second = self.start.elapsed().as_secs();
        let seen = self.written.load(Ordering::Relaxed);
        let lines = if seen >> 32 == second {
            (seen & u64::from(u32::MAX)) + 1
        } else {
            1
        };
        self.written
            .store((second << 32) | lines, Ordering::Relaxed);
        lines <= MAX_PER_SECOND
    }
}

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level && !is_library(metadata.target())
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if record.level() > Level::Warn && !self.has_room() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = line_of(record, dropped);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(LineMessage::Line(line)) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        flush();
    }
}

fn is_library(target: &str) -> bool {
    let part = target.split("::").next().unwrap_or_default();
    matches!(
        part,
        "h2" | "hyper"
            | "hyper_util"
            | "tower"
            | "tonic"
            | "mio"
            | "async_io"
            | "polling"
            | "tide"
            | "async_std"
    )
}

/// Returns the line of a record: time, level, part, message, and each `name=value` after it as a
/// field.
fn line_of(record: &Record<'_>, dropped: u64) -> String {
    let text = record.args().to_string();
    let (message, fields) = text.split_once("; ").unwrap_or((&text, ""));
    let mut line = serde_json::Map::new();
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    line.insert("time".to_string(), time.into());
    line.insert("level".to_string(), record.level().as_str().into());
    line.insert("part".to_string(), record.target().into());
    line.insert("message".to_string(), message.into());
    let mut name = None;
    let mut value = String::new();
    for word in fields.split(' ').filter(|word| !word.is_empty()) {
        if let Some((next, start)) = word.split_once('=').filter(|(next, _)| is_name(next)) {
            if let Some(name) = name.replace(next) {
                line.insert(name.to_string(), value_of(name, std::mem::take(&mut value)));
            }
            value = start.to_string();
        } else {
            value.push(' ');
            value.push_str(word);
        }
    }
    if let Some(name) = name {
        line.insert(name.to_string(), value_of(name, value));
    }
    if dropped > 0 {
        line.insert("dropped_before".to_string(), dropped.into());
    }
    let mut line = serde_json::Value::Object(line).to_string();
    line.push('\n');
    line
}

/// Returns a field's value: a number where it is one, but for ids, which may look like numbers.
fn value_of(name: &str, value: String) -> serde_json::Value {
    const IDS: [&str; 4] = ["request", "server", "object", "host"];
    match value.parse::<i64>() {
        Ok(number) if !IDS.contains(&name) => number.into(),
        _ => value.into(),
    }
}

fn is_name(word: &str) -> bool {
    !word.is_empty()
        && word
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
