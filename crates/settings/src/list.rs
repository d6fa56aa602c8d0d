//! The help text of a program, from the list of its settings.

use std::fmt;

/// One setting in a help text.
#[derive(Debug, Clone, Copy)]
pub struct SettingHelp {
    /// Name without dashes.
    pub name: &'static str,
    /// What the value is, such as `ADDRESS`; empty for a flag without one.
    pub value: &'static str,
    /// What it does, with its default.
    pub text: &'static str,
}

/// Help text of a program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramHelp {
    /// Name of the program.
    pub program: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    /// Its settings.
    pub settings: &'static [SettingHelp],
}

impl fmt::Display for ProgramHelp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\n", self.summary)?;
        writeln!(f, "Usage: {} [FLAGS]\n", self.program)?;
        writeln!(
            f,
            "Each flag --name can be given as the variable WISTERIA_NAME.\n"
        )?;
        for setting in self.settings {
            let flag = format!("--{} {}", setting.name, setting.value);
            writeln!(f, "  {flag:<30} {}", setting.text)?;
        }
        writeln!(f, "  {:<30} shows this text", "--help")?;
        write!(f, "  {:<30} shows the version", "--version")
    }
}
