//! Reads settings and collects what is wrong with them.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use model::fault::InputFault;
use model::ids;

/// Prefix of the environment variables.
pub const ENV_PREFIX: &str = "WISTERIA_";

/// Reads settings from flags and environment variables; a flag goes before a variable.
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

/// Turns a text into a value, or tells what is allowed.
pub type SettingParser<T> = fn(&str) -> Result<T, &'static str>;

impl SettingReader {
    /// Creates a reader of the given arguments and environment.
    pub fn new(args: Vec<OsString>, env: impl IntoIterator<Item = (String, String)>) -> Self {
        Self {
            args: pico_args::Arguments::from_vec(args),
            env: env.into_iter().collect(),
            faults: Vec::new(),
        }
    }

    /// Creates a reader of this process's arguments and environment.
    pub fn from_process() -> Self {
        let env = std::env::vars_os()
            .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)));
        Self::new(std::env::args_os().skip(1).collect(), env)
    }

    /// Takes a flag without a value.
    pub fn flag(&mut self, name: &'static str) -> bool {
        let given = self.args.contains(flag_name(name));
        given
            || self
                .env
                .get(&variable_name(name))
                .is_some_and(|v| v == "true" || v == "1")
    }

    /// Takes a setting that may be absent.
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

    /// Takes a setting that must be there.
    pub fn required<T>(&mut self, name: &'static str, parse: SettingParser<T>) -> Option<T> {
        let faults = self.faults.len();
        let value = self.optional(name, parse);
        if value.is_none() && self.faults.len() == faults {
            self.fault(name, "", "a value; the setting is needed");
        }
        value
    }

    /// Takes a setting that has a default.
    pub fn or<T>(&mut self, name: &'static str, parse: SettingParser<T>, default: T) -> T {
        self.optional(name, parse).unwrap_or(default)
    }

    /// Takes a list of values with commas between them; absent, it is empty.
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

    /// Takes a setting from its environment variable alone, as secrets are: flags show in lists of
    /// processes.
    pub fn variable(&self, name: &str) -> Option<String> {
        self.env.get(&variable_name(name)).cloned()
    }

    /// Adds a fault of a setting.
    pub fn fault(&mut self, name: &str, value: &str, allowed: &str) {
        self.faults
            .push(InputFault::new(setting_name(name), value, allowed));
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Gives every fault found, arguments that nobody took included.
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

    /// Parses an IP number and port.
    pub fn address(text: &str) -> Result<SocketAddr, &'static str> {
        text.parse()
            .map_err(|_| "IP number and port, such as 10.0.0.1:8080")
    }

    /// Parses a name.
    pub fn name(text: &str) -> Result<String, &'static str> {
        if ids::is_name(text) {
            return Ok(text.to_string());
        }
        Err("1 to 64 of a-z, 0-9, - and ., starting with a letter or digit")
    }

    /// Parses a duration above 0.
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

    /// Parses a whole number from 1.
    pub fn count(text: &str) -> Result<u64, &'static str> {
        match text.parse() {
            Ok(count) if count > 0 => Ok(count),
            _ => Err("a whole number from 1"),
        }
    }

    /// Parses a whole number from 0.
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

    /// Parses a replica's number and address, such as `1=10.0.0.1:7001`.
    pub fn numbered_address(text: &str) -> Result<(u64, SocketAddr), &'static str> {
        const ALLOWED: &str = "number=address, such as 1=10.0.0.1:7001";
        let (number, address) = text.split_once('=').ok_or(ALLOWED)?;
        let number = number.parse().map_err(|_| ALLOWED)?;
        let address = address.parse().map_err(|_| ALLOWED)?;
        Ok((number, address))
    }
}

fn flag_name(name: &'static str) -> &'static str {
    // The library takes only static names, so each name is leaked once.
    Box::leak(format!("--{name}").into_boxed_str())
}

fn variable_name(name: &str) -> String {
    format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase())
}

fn setting_name(name: &str) -> String {
    format!("--{name} or {}", variable_name(name))
}
