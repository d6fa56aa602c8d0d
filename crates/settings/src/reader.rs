//! Reader of settings that collects validation errors.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use model::fault::InputFault;
use model::ids;

/// Prefix of the environment variables of all settings.
pub const ENV_PREFIX: &str = "WISTERIA_";

/// Reads settings from flags and environment variables; a flag takes precedence over a variable.
///
/// # Examples
///
/// ```
/// use settings::reader::SettingReader;
///
/// let args = ["--listen", "127.0.0.1:8080"].map(Into::into).to_vec();
/// let mut reader = SettingReader::new(args, []);
/// let listen = reader.required("listen", SettingReader::address);
/// assert_eq!(listen.unwrap().port(), 8080);
/// assert!(reader.finish().is_ok());
/// ```
#[derive(Debug)]
pub struct SettingReader {
    args: pico_args::Arguments,
    env: BTreeMap<String, String>,
    faults: Vec<InputFault>,
}

/// Parses a value, or returns a description of the allowed values.
pub type SettingParser<T> = fn(&str) -> Result<T, &'static str>;

impl SettingReader {
    /// Creates a reader of the given arguments and environment variables.
    pub fn new(args: Vec<OsString>, env: impl IntoIterator<Item = (String, String)>) -> Self {
        Self {
            args: pico_args::Arguments::from_vec(args),
            env: env.into_iter().collect(),
            faults: Vec::new(),
        }
    }

    /// Creates a reader of the arguments and environment variables of this process.
    ///
    /// Environment variables that are not valid UTF-8 are ignored.
    pub fn from_process() -> Self {
        let env = std::env::vars_os()
            .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)));
        Self::new(std::env::args_os().skip(1).collect(), env)
    }

    /// Returns whether a flag without a value is given, or its variable is `true` or `1`. Values other
    /// than these, `false` and `0` are validation errors.
    pub fn flag(&mut self, name: &'static str) -> bool {
        if self.args.contains(flag_name(name)) {
            return true;
        }
        match self.variable(name).as_deref() {
            Some("true" | "1") => true,
            None | Some("false" | "0") => false,
            Some(other) => {
                self.fault(name, other, "true, 1, false or 0");
                false
            }
        }
    }

    /// Reads an optional setting; returns `None` if it is absent or invalid.
    pub fn optional<T>(&mut self, name: &'static str, parse: SettingParser<T>) -> Option<T> {
        let text = self.text(name)?;
        match parse(&text) {
            Ok(value) => Some(value),
            Err(allowed) => {
                self.faults
                    .push(InputFault::new(setting_name(name), text, allowed));
                None
            }
        }
    }

    /// Reads a required setting; its absence is a validation error.
    pub fn required<T>(&mut self, name: &'static str, parse: SettingParser<T>) -> Option<T> {
        let faults_before = self.faults.len();
        let value = self.optional(name, parse);
        if value.is_none() && self.faults.len() == faults_before {
            self.fault(name, "", "a value; the setting is needed");
        }
        value
    }

    /// Reads a setting that has a default.
    pub fn or<T>(&mut self, name: &'static str, parse: SettingParser<T>, default: T) -> T {
        self.optional(name, parse).unwrap_or(default)
    }

    /// Reads a comma-separated list of values; the list is empty if the setting is absent.
    pub fn list<T>(&mut self, name: &'static str, parse: SettingParser<T>) -> Vec<T> {
        let Some(text) = self.text(name) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match parse(part) {
                Ok(value) => values.push(value),
                Err(allowed) => self.fault(name, part, allowed),
            }
        }
        values
    }

    /// Reads a setting from its environment variable only.
    ///
    /// Secrets are read this way, because flags are visible in process listings.
    pub fn variable(&self, name: &str) -> Option<String> {
        self.env.get(&variable_name(name)).cloned()
    }

    /// Adds a validation error of a setting: its value as given, and the allowed values.
    pub fn fault(&mut self, name: &str, value: &str, allowed: &str) {
        self.faults
            .push(InputFault::new(setting_name(name), value, allowed));
    }

    /// Finishes reading, after all settings have been read.
    ///
    /// # Errors
    ///
    /// Returns all validation errors; each argument that was not read as a setting is one of them.
    pub fn finish(mut self) -> Result<(), Vec<InputFault>> {
        for arg in self.args.finish() {
            let text = arg.to_string_lossy().into_owned();
            self.faults.push(InputFault::new(
                "argument",
                text,
                "the flags that --help lists",
            ));
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(self.faults)
    }

    fn text(&mut self, name: &'static str) -> Option<String> {
        match self.args.opt_value_from_str::<_, String>(flag_name(name)) {
            Ok(Some(text)) => Some(text),
            Ok(None) => self.env.get(&variable_name(name)).cloned(),
            Err(_) => {
                self.fault(name, "", "a value after the flag");
                None
            }
        }
    }

    /// Parses an IP address and port.
    pub fn address(text: &str) -> Result<SocketAddr, &'static str> {
        text.parse()
            .map_err(|_| "IP number and port, such as 10.0.0.1:8080")
    }

    /// Parses a name, such as the name of a service, zone or host.
    pub fn name(text: &str) -> Result<String, &'static str> {
        if ids::is_name(text) {
            return Ok(text.to_string());
        }
        Err("1 to 64 of a-z, 0-9, - and ., starting with a letter or digit")
    }

    /// Parses a duration greater than 0.
    pub fn duration(text: &str) -> Result<Duration, &'static str> {
        match humantime::parse_duration(text) {
            Ok(duration) if !duration.is_zero() => Ok(duration),
            _ => Err("a time above 0 with its unit, such as 500ms or 2s"),
        }
    }

    /// Parses a log level.
    pub fn log_level(text: &str) -> Result<LevelFilter, &'static str> {
        text.parse()
            .map_err(|_| "off, error, warn, info, debug or trace")
    }

    /// Parses an integer of at least 1.
    pub fn count(text: &str) -> Result<u64, &'static str> {
        match text.parse() {
            Ok(count) if count > 0 => Ok(count),
            _ => Err("a whole number from 1"),
        }
    }

    /// Parses an integer of at least 0.
    pub fn seed(text: &str) -> Result<u64, &'static str> {
        text.parse().map_err(|_| "a whole number from 0")
    }

    /// Parses the path of a file or folder.
    pub fn path(text: &str) -> Result<PathBuf, &'static str> {
        if text.is_empty() {
            return Err("a path");
        }
        Ok(PathBuf::from(text))
    }

    /// Parses the number and address of a replica, such as `1=10.0.0.1:7001`.
    pub fn numbered_address(text: &str) -> Result<(u64, SocketAddr), &'static str> {
        const ALLOWED: &str = "number=address, such as 1=10.0.0.1:7001";
        let (number, address) = text.split_once('=').ok_or(ALLOWED)?;
        let number = number.parse().map_err(|_| ALLOWED)?;
        let address = address.parse().map_err(|_| ALLOWED)?;
        Ok((number, address))
    }
}

fn flag_name(name: &'static str) -> &'static str {
    // `pico_args` accepts only `&'static str`. A process reads each setting once at its start, so
    // the leaked memory is small.
    Box::leak(format!("--{name}").into_boxed_str())
}

fn variable_name(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase())
}

fn setting_name(name: &str) -> String {
    format!("--{name} or {}", variable_name(name))
}
