//! Reading of the log lines of processes, which are JSON objects.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use serde::Deserialize;

use crate::error::ClientError;

/// A log line of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time at which the line was logged.
    pub time: SystemTime,
    /// Process that logged the line: the word before the JSON object, else the name of the file.
    pub source: String,
    /// Part of the program.
    pub part: String,
    /// Message without its fields.
    pub message: String,
    /// Fields by name, as text.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Returns a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns a field as a number of milliseconds.
    pub fn milliseconds(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Parses a line; `file` names the process unless the line does.
    fn parse(text: &str, file: &str) -> Option<Self> {
        let (prefix, object) = text.split_at(text.find('{')?);
        let raw: RawLine = serde_json::from_str(object).ok()?;
        let time = humantime::parse_rfc3339(&raw.time).ok()?;
        let fields = raw.fields.into_iter().map(|(name, value)| match value {
            serde_json::Value::String(text) => (name, text),
            other => (name, other.to_string()),
        });
        Some(Self {
            time,
            source: prefix.split_whitespace().last().unwrap_or(file).to_string(),
            part: raw.part,
            message: raw.message,
            fields: fields.collect(),
        })
    }
}

/// A line as it is written.
#[derive(Debug, Deserialize)]
struct RawLine {
    time: String,
    part: String,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, serde_json::Value>,
}

/// Log files.
#[derive(Debug)]
pub struct LogFiles {
    files: Vec<PathBuf>,
}

impl LogFiles {
    /// Finds the log files among paths: a file stands for itself, a folder for the files in it.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::File`] if a path can't be read.
    pub fn find(paths: &[PathBuf]) -> Result<Self, ClientError> {
        let mut files = Vec::new();
        for path in paths {
            let metadata = fs::metadata(path).map_err(|e| file_error(path, e))?;
            if !metadata.is_dir() {
                files.push(path.clone());
                continue;
            }
            let entries = fs::read_dir(path).and_then(Iterator::collect::<io::Result<Vec<_>>>);
            let entries = entries.map_err(|e| file_error(path, e))?.into_iter();
            let mut inside: Vec<_> = entries
                .map(|entry| entry.path())
                .filter(|path| path.is_file())
                .collect();
            inside.sort();
            files.extend(inside);
        }
        Ok(Self { files })
    }

    /// Passes on the lines whose text `wants` accepts. Returns the number of those that aren't log
    /// lines in JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::File`] if a file can't be read.
    pub fn scan(
        &self,
        wants: impl Fn(&str) -> bool,
        mut handle: impl FnMut(LogLine),
    ) -> Result<usize, ClientError> {
        let mut unreadable = 0;
        for path in &self.files {
            let file = File::open(path).map_err(|e| file_error(path, e))?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            let mut reader = BufReader::new(file);
            let mut bytes = Vec::new();
            loop {
                bytes.clear();
                let length = reader.read_until(b'\n', &mut bytes);
                if length.map_err(|e| file_error(path, e))? == 0 {
                    break;
                }
                let text = String::from_utf8_lossy(&bytes);
                if !wants(&text) {
                    continue;
                }
                match LogLine::parse(&text, &name) {
                    Some(line) => handle(line),
                    None => unreadable += 1,
                }
            }
        }
        Ok(unreadable)
    }
}

fn file_error(path: &Path, error: io::Error) -> ClientError {
    ClientError::File(path.display().to_string(), error)
}
