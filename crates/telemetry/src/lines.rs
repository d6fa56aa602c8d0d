//! Rate-limited logger that writes JSON lines to standard output.
//!
//! A separate thread writes the lines, so that no task blocks on output. A message of the form
//! `message; name=value name=value` becomes a JSON object with a member per field.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, SyncSender, TrySendError};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Maximum number of lines queued for the writer thread; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Maximum number of info, debug and trace lines per second; further ones are dropped and counted.
/// Errors and warnings have no such limit.
const MAX_LINES_PER_SECOND: u64 = 400;

/// Timeout of [`flush`], so that an output that blocks does not hold up the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static LOGGER: OnceLock<LineLogger> = OnceLock::new();

/// Message to the writer thread.
enum LineMessage {
    Line(String),
    /// Request to flush the output and then answer on the channel.
    Flush(SyncSender<()>),
}

struct LineLogger {
    queue: SyncSender<LineMessage>,
    level: LevelFilter,
    /// Number of lines dropped since the last one that was queued.
    dropped: AtomicU64,
    start: Instant,
    /// Upper 32 bits: current second since `start`. Lower 32 bits: number of lines in this second.
    line_count: AtomicU64,
}

/// Installs the logger of the process.
///
/// Does nothing if a logger is installed already or the writer thread can't be started.
pub fn start(level: LevelFilter) {
    let (queue, messages) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let writer = std::thread::Builder::new().name("log".to_string());
    let spawned = writer.spawn(move || write_lines(&messages));
    if spawned.is_err() {
        return;
    }
    let logger = LOGGER.get_or_init(|| LineLogger {
        queue,
        level,
        dropped: AtomicU64::new(0),
        start: Instant::now(),
        line_count: AtomicU64::new(0),
    });
    if log::set_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}

/// Waits until all queued lines are written, for at most `FLUSH_TIMEOUT`.
///
/// Returns immediately if the queue is full.
pub fn flush() {
    let Some(logger) = LOGGER.get() else {
        return;
    };
    let (done, flushed) = mpsc::sync_channel(1);
    if logger.queue.try_send(LineMessage::Flush(done)).is_ok() {
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Writes the queued lines to standard output until all senders are dropped.
fn write_lines(messages: &mpsc::Receiver<LineMessage>) {
    while let Ok(message) = messages.recv() {
        let mut out = std::io::stdout().lock();
        // Write errors are ignored, as there is no other output to report them to.
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
    /// Counts a line, and returns whether it is within the rate limit of the current second.
    fn is_within_rate_limit(&self) -> bool {
        let second = self.start.elapsed().as_secs();
        let count = self.line_count.load(Ordering::Relaxed);
        let lines = if count >> 32 == second {
            (count & u64::from(u32::MAX)) + 1
        } else {
            1
        };
        self.line_count
            .store((second << 32) | lines, Ordering::Relaxed);
        lines <= MAX_LINES_PER_SECOND
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
        if record.level() > Level::Warn && !self.is_within_rate_limit() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let line = format_line(record, dropped);
        if let Err(TrySendError::Full(_)) = self.queue.try_send(LineMessage::Line(line)) {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        flush();
    }
}

/// Returns whether a log target belongs to a library, whose records are not written.
fn is_library(target: &str) -> bool {
    let root = target.split("::").next().unwrap_or_default();
    matches!(
        root,
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

/// Formats a record as a JSON object: time, level, part (the log target), message and fields.
///
/// `dropped` is the number of lines dropped before this one.
fn format_line(record: &Record<'_>, dropped: u64) -> String {
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
        if let Some((next, start)) = word.split_once('=').filter(|(next, _)| is_field_name(next)) {
            if let Some(name) = name.replace(next) {
                line.insert(
                    name.to_string(),
                    field_value(name, std::mem::take(&mut value)),
                );
            }
            value = start.to_string();
        } else {
            value.push(' ');
            value.push_str(word);
        }
    }
    if let Some(name) = name {
        line.insert(name.to_string(), field_value(name, value));
    }
    if dropped > 0 {
        line.insert("dropped_before".to_string(), dropped.into());
    }
    let mut line = serde_json::Value::Object(line).to_string();
    line.push('\n');
    line
}

/// Converts the value of a field to a JSON number or string.
///
/// Ids are always strings, as an id that looks like a number would lose its leading zeros.
fn field_value(name: &str, value: String) -> serde_json::Value {
    const ID_FIELDS: [&str; 4] = ["request", "server", "object", "host"];
    match value.parse::<i64>() {
        Ok(number) if !ID_FIELDS.contains(&name) => number.into(),
        _ => value.into(),
    }
}

fn is_field_name(word: &str) -> bool {
    !word.is_empty()
        && word
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}
