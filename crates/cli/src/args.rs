//! Parses and validates the command, its operands and the settings.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use model::fault::InputFault;
use model::ids;
use model::spec;
use settings::reader::{SettingParser, SettingReader};
use settings::secret;
use strum::EnumString;

/// Time limit of a command unless `--timeout` is given.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Flags that are followed by a value.
const VALUE_FLAGS: [&str; 4] = ["--controls", "--token-file", "--format", "--timeout"];

/// Allowed commands, as error messages describe them.
const COMMAND_RULE: &str = "a command that --help lists";

/// Output format of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportFormat {
    /// Aligned columns, for people.
    Table,
    /// JSON, for programs.
    Json,
}

/// Filter on the kind and name of the objects to show.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObjectFilter {
    /// Kind of the objects; `None` matches all kinds.
    pub kind: Option<spec::ObjectKind>,
    /// Name within the kind; `None` matches all names.
    pub name: Option<String>,
}

impl FromStr for ObjectFilter {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = match text.split_once('/') {
            Some((kind, name)) => (kind, Some(name.to_string())),
            None => (text, None),
        };
        let kind = spec::ObjectKind::from_str(kind)
            .map_err(|_| "region, link, host, service or block, and a name after a /")?;
        Ok(Self {
            kind: Some(kind),
            name,
        })
    }
}

/// A command with its operands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientCommand {
    /// Submits the ticket in a file.
    Submit {
        /// Path of the ticket file.
        file: PathBuf,
        /// Shows the verdict that the ticket would get, without submitting it.
        dry_run: bool,
        /// Waits until the ticket is in force on every entry host.
        wait: bool,
    },
    /// Validates ticket files.
    Check {
        /// Paths of the ticket files.
        files: Vec<PathBuf>,
    },
    /// Shows the objects in force.
    Show(ObjectFilter),
    /// Lists the tickets and their verdicts.
    Tickets,
    /// Shows the verdict on one ticket.
    Ticket(ids::TicketNumber),
    /// Shows the status of the control replicas and entry hosts.
    Status,
    /// Shows the whole state of one process.
    Dump(SocketAddr),
    /// Shows what became of a request, from the logs of the processes.
    Explain {
        /// Id of the request.
        request: String,
        /// Log files, and folders with log files.
        logs: Vec<PathBuf>,
    },
    /// Shows the help text.
    Help,
    /// Shows the version.
    Version,
}

impl ClientCommand {
    /// Returns whether the command calls other processes.
    fn is_remote(&self) -> bool {
        !matches!(
            self,
            Self::Check { .. } | Self::Explain { .. } | Self::Help | Self::Version
        )
    }
}

/// Access token, hidden from `Debug` output.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct AccessToken(pub String);

impl fmt::Debug for AccessToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(not shown)")
    }
}

/// Command and settings of one run of the program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientArgs {
    /// Command to execute.
    pub command: ClientCommand,
    /// Output format of the report.
    pub format: ReportFormat,
    /// Time limit of the whole command.
    pub timeout: Duration,
    /// Operator addresses of the control replicas.
    pub controls: Vec<SocketAddr>,
    /// Access token; empty if the command calls no other process.
    pub token: AccessToken,
}

impl ClientArgs {
    /// Parses the arguments that follow the program's name, and the environment variables.
    ///
    /// # Errors
    ///
    /// Returns all invalid or missing arguments and settings.
    pub fn parse(
        args: impl IntoIterator<Item = OsString>,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Self, Vec<InputFault>> {
        let (flags, words) = split_flags(args);
        let mut reader = SettingReader::new(flags, env);
        if reader.flag("help") {
            return Ok(Self::without_settings(ClientCommand::Help));
        }
        if reader.flag("version") {
            return Ok(Self::without_settings(ClientCommand::Version));
        }
        let format = reader.or("format", parse_format, ReportFormat::Table);
        let timeout = reader.or("timeout", SettingReader::duration, DEFAULT_TIMEOUT);
        let controls = reader.list("controls", SettingReader::address);
        let mut faults = Vec::new();
        let command = parse_command(&mut reader, &words, &mut faults);
        let mut token = None;
        if command.as_ref().is_some_and(ClientCommand::is_remote) {
            token = secret::read_token(&mut reader);
            let needs_controls = !matches!(command, Some(ClientCommand::Dump(_)));
            if needs_controls && controls.is_empty() {
                reader.fault(
                    "controls",
                    "",
                    "at least one address; the setting is needed",
                );
            }
        }
        faults.extend(reader.finish().err().unwrap_or_default());
        if !faults.is_empty() {
            return Err(faults);
        }
        // The fallback is unreachable: `parse_command` reports a fault where it returns no command.
        let command = command.unwrap_or(ClientCommand::Help);
        Ok(Self {
            command,
            format,
            timeout,
            controls,
            token: AccessToken(token.unwrap_or_default()),
        })
    }

    /// Creates arguments with default settings, for a command that uses none.
    fn without_settings(command: ClientCommand) -> Self {
        Self {
            command,
            format: ReportFormat::Table,
            timeout: DEFAULT_TIMEOUT,
            controls: Vec::new(),
            token: AccessToken::default(),
        }
    }
}

/// Splits the arguments into flags with their values, and the command with its operands.
fn split_flags(args: impl IntoIterator<Item = OsString>) -> (Vec<OsString>, Vec<String>) {
    let (mut flags, mut words) = (Vec::new(), Vec::new());
    let mut args = args.into_iter();
    while let Some(arg) = args.next() {
        let text = arg.to_string_lossy().into_owned();
        if !text.starts_with('-') || text == "-" {
            words.push(text);
            continue;
        }
        flags.push(arg);
        if VALUE_FLAGS.contains(&text.as_str()) {
            flags.extend(args.next());
        }
    }
    (flags, words)
}

fn parse_command(
    reader: &mut SettingReader,
    words: &[String],
    faults: &mut Vec<InputFault>,
) -> Option<ClientCommand> {
    let Some((name, operands)) = words.split_first() else {
        faults.push(InputFault::new("command", "", COMMAND_RULE));
        return None;
    };
    let mut operands = OperandParser { operands, faults };
    match name.as_str() {
        "submit" => {
            let (dry_run, wait) = (reader.flag("dry-run"), reader.flag("wait"));
            let file = PathBuf::from(operands.exactly_one("FILE")?);
            Some(ClientCommand::Submit {
                file,
                dry_run,
                wait,
            })
        }
        "check" => operands.files().map(|files| ClientCommand::Check { files }),
        "show" if operands.is_empty() => Some(ClientCommand::Show(ObjectFilter::default())),
        "show" => operands
            .parse_one("KIND/NAME", ObjectFilter::from_str)
            .map(ClientCommand::Show),
        "tickets" => operands.expect_none().map(|()| ClientCommand::Tickets),
        "ticket" => operands
            .parse_one("NUMBER", SettingReader::count)
            .map(ClientCommand::Ticket),
        "status" => operands.expect_none().map(|()| ClientCommand::Status),
        "dump" => operands
            .parse_one("ADDRESS", SettingReader::address)
            .map(ClientCommand::Dump),
        "explain" => operands
            .first_and_files("ID")
            .map(|(request, logs)| ClientCommand::Explain { request, logs }),
        _ => {
            operands.add_fault("command", name, COMMAND_RULE);
            None
        }
    }
}

/// Parses the operands of a command and collects the errors.
struct OperandParser<'a> {
    operands: &'a [String],
    faults: &'a mut Vec<InputFault>,
}

impl OperandParser<'_> {
    fn is_empty(&self) -> bool {
        self.operands.is_empty()
    }

    fn add_fault(&mut self, field: &str, value: &str, allowed: &str) {
        self.faults.push(InputFault::new(field, value, allowed));
    }

    fn exactly_one(&mut self, field: &str) -> Option<String> {
        if let [operand] = self.operands {
            return Some(operand.clone());
        }
        self.add_fault(field, &self.operands.join(" "), "exactly one");
        None
    }

    fn expect_none(&mut self) -> Option<()> {
        if self.operands.is_empty() {
            return Some(());
        }
        self.add_fault("argument", &self.operands.join(" "), "none");
        None
    }

    fn files(&mut self) -> Option<Vec<PathBuf>> {
        if self.operands.is_empty() {
            self.add_fault("FILE", "", "at least one file");
            return None;
        }
        Some(self.operands.iter().map(PathBuf::from).collect())
    }

    /// Parses an operand that is followed by files.
    fn first_and_files(&mut self, field: &str) -> Option<(String, Vec<PathBuf>)> {
        let Some((first, files)) = self.operands.split_first() else {
            self.add_fault(field, "", "exactly one, before the files");
            return None;
        };
        self.operands = files;
        Some((first.clone(), self.files()?))
    }

    fn parse_one<T>(&mut self, field: &str, parse: SettingParser<T>) -> Option<T> {
        let operand = self.exactly_one(field)?;
        match parse(&operand) {
            Ok(value) => Some(value),
            Err(allowed) => {
                self.add_fault(field, &operand, allowed);
                None
            }
        }
    }
}

fn parse_format(text: &str) -> Result<ReportFormat, &'static str> {
    ReportFormat::from_str(text).map_err(|_| "table or json")
}
