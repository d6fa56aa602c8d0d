//! Help text of a program, built from the list of its settings.

use std::fmt;

/// Description of one setting in a help text.
#[derive(Debug, Clone, Copy)]
pub struct SettingHelp {
    /// Name of the setting, without the leading dashes of its flag.
    pub name: &'static str,
    /// Placeholder of the value, such as `ADDRESS`; empty for a flag without a value.
    pub value: &'static str,
    /// Description of the setting and its default.
    pub text: &'static str,
}

/// Help text of a program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramHelp {
    /// Name of the program.
    pub program: &'static str,
    /// One-line summary of what the program does.
    pub summary: &'static str,
    /// Settings of the program, in the order in which they are shown.
    pub settings: &'static [SettingHelp],
}

impl fmt::Display for ProgramHelp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n", self.summary)?;
        writeln!(f, "Usage: {} [FLAGS]\n", self.program)?;
        writeln!(
            f,
            "Each flag --name can also be set by the environment variable WISTERIA_NAME.\n"
        )?;
        for setting in self.settings {
            let flag = format!("--{} {}", setting.name, setting.value);
            writeln!(f, "  {flag:<30} {}", setting.text)?;
        }
        writeln!(f, "  {:<30} shows this text", "--help")?;
        write!(f, "  {:<30} shows the version", "--version")
    }
}
