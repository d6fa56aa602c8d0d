//! Commands and settings, checked.

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

/// Bound on a command where none is set.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Flags that take a value.
const VALUE_FLAGS: [&str; 4] = ["--controls", "--token-file", "--format", "--timeout"];

const COMMAND_RULE: &str = "a command that --help lists";

/// How a report is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportFormat {
    /// Columns for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Which objects in force to show.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObjectFilter {
    /// Kind, or all.
    pub kind: Option<spec::ObjectKind>,
    /// Name within the kind, or all.
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

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientCommand {
    /// Submit the ticket in a file.
    Submit {
        /// The file.
        file: PathBuf,
        /// Only tell what would be said.
        dry_run: bool,
        /// Wait until it is in force everywhere.
        wait: bool,
    },
    /// Find the faults of ticket files.
    Check {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Show what is in force.
    Show(ObjectFilter),
    /// List tickets.
    Tickets,
    /// Show one ticket's verdict.
    Ticket(ids::TicketNumber),
    /// Show replicas and entry hosts.
    Status,
    /// Show a process's whole state.
    Dump(SocketAddr),
    /// Show the help text.
    Help,
    /// Show the version.
    Version,
}

impl ClientCommand {
    /// Tells whether the command calls other processes.
    fn is_remote(&self) -> bool {
        !matches!(self, Self::Check { .. } | Self::Help | Self::Version)
    }
}

/// Access token; its debug form doesn't show it.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct TokenText(pub String);

impl fmt::Debug for TokenText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(not shown)")
    }
}

/// Arguments and settings of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientArgs {
    /// What to do.
    pub command: ClientCommand,
    /// How to write the report.
    pub format: ReportFormat,
    /// Bound on the whole command.
    pub timeout: Duration,
    /// Operator addresses of the control replicas.
    pub controls: Vec<SocketAddr>,
    /// Access token; empty where the command needs none.
    pub token: TokenText,
}

impl ClientArgs {
    /// Reads the arguments after the program's name, and the environment.
    ///
    /// # Errors
    ///
    /// Gives every fault found.
    pub fn read(
        args: impl IntoIterator<Item = OsString>,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Self, Vec<InputFault>> {
        let (flags, words) = partition(args);
        let mut reader = SettingReader::new(flags, env);
        if reader.flag("help") {
            return Ok(Self::local(ClientCommand::Help));
        }
        if reader.flag("version") {
            return Ok(Self::local(ClientCommand::Version));
        }
        let format = reader.or("format", parse_format, ReportFormat::Table);
        let timeout = reader.or("timeout", SettingReader::duration, DEFAULT_TIMEOUT);
        let controls = reader.list("controls", SettingReader::address);
        let mut faults = Vec::new();
        let command = read_command(&mut reader, &words, &mut faults);
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
        // A missing command is a fault, so that it is there once the reading has ended well.
        let command = command.unwrap_or(ClientCommand::Help);
        Ok(Self {
            command,
            format,
            timeout,
            controls,
            token: TokenText(token.unwrap_or_default()),
        })
    }

    fn local(command: ClientCommand) -> Self {
        Self {
            command,
            format: ReportFormat::Table,
            timeout: DEFAULT_TIMEOUT,
            controls: Vec::new(),
            token: TokenText::default(),
        }
    }
}

/// Parts flags with their values from the words of the command.
fn partition(args: impl IntoIterator<Item = OsString>) -> (Vec<OsString>, Vec<String>) {
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

fn read_command(
    reader: &mut SettingReader,
    words: &[String],
    faults: &mut Vec<InputFault>,
) -> Option<ClientCommand> {
    let Some((name, operands)) = words.split_first() else {
        faults.push(InputFault::new("command", "", COMMAND_RULE));
        return None;
    };
    let mut operands = OperandReader { operands, faults };
    match name.as_str() {
        "submit" => {
            let (dry_run, wait) = (reader.flag("dry-run"), reader.flag("wait"));
            let file = PathBuf::from(operands.one("FILE")?);
            Some(ClientCommand::Submit {
                file,
                dry_run,
                wait,
            })
        }
        "check" => operands.files().map(|files| ClientCommand::Check { files }),
        "show" if operands.is_empty() => Some(ClientCommand::Show(ObjectFilter::default())),
        "show" => operands
            .parsed("KIND/NAME", ObjectFilter::from_str)
            .map(ClientCommand::Show),
        "tickets" => operands.none().map(|()| ClientCommand::Tickets),
        "ticket" => operands
            .parsed("NUMBER", SettingReader::count)
            .map(ClientCommand::Ticket),
        "status" => operands.none().map(|()| ClientCommand::Status),
        "dump" => operands
            .parsed("ADDRESS", SettingReader::address)
            .map(ClientCommand::Dump),
        _ => {
            operands.fault("command", name, COMMAND_RULE);
            None
        }
    }
}

/// Reads the words after a command's name.
struct OperandReader<'a> {
    operands: &'a [String],
    faults: &'a mut Vec<InputFault>,
}

impl OperandReader<'_> {
    fn is_empty(&self) -> bool {
        self.operands.is_empty()
    }

    fn fault(&mut self, field: &str, value: &str, allowed: &str) {
        self.faults.push(InputFault::new(field, value, allowed));
    }

    fn one(&mut self, field: &str) -> Option<String> {
        if let [operand] = self.operands {
            return Some(operand.clone());
        }
        self.fault(field, &self.operands.join(" "), "exactly one");
        None
    }

    fn none(&mut self) -> Option<()> {
        if self.operands.is_empty() {
            return Some(());
        }
        self.fault("argument", &self.operands.join(" "), "none");
        None
    }

    fn files(&mut self) -> Option<Vec<PathBuf>> {
        if self.operands.is_empty() {
            self.fault("FILE", "", "at least one file");
            return None;
        }
        Some(self.operands.iter().map(PathBuf::from).collect())
    }

    fn parsed<T>(&mut self, field: &str, parse: SettingParser<T>) -> Option<T> {
        let operand = self.one(field)?;
        match parse(&operand) {
            Ok(value) => Some(value),
            Err(allowed) => {
                self.fault(field, &operand, allowed);
                None
            }
        }
    }
}

fn parse_format(text: &str) -> Result<ReportFormat, &'static str> {
    ReportFormat::from_str(text).map_err(|_| "table or json")
}
