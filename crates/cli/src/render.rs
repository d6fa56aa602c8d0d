//! Reports as tables or JSON.

use std::fmt::Write as _;

use crate::args::ReportFormat;
use crate::check::FileCheck;
use crate::report::{
    CommandReport, HostRow, ObjectRow, ReplicaRow, StatusReport, SubmitReport, TicketRow,
};

/// Writes a report; the text ends with a line end.
pub fn render(report: &CommandReport, format: ReportFormat) -> String {
    if format == ReportFormat::Json {
        return json(report);
    }
    match report {
        CommandReport::Check { files } => files.iter().map(file_check).collect(),
        CommandReport::Submit(report) => submit(report),
        CommandReport::Preview { number, verdict } => {
            format!("ticket {number} would be: {verdict}\n")
        }
        CommandReport::Objects {
            revision,
            digest,
            objects,
        } => objects_table(*revision, digest, objects),
        CommandReport::Tickets { tickets } => tickets_table(tickets),
        CommandReport::Status(report) => status(report),
        CommandReport::Dump { state } => pretty(state),
    }
}

fn json(report: &CommandReport) -> String {
    let value = match report {
        CommandReport::Dump { state } => state.clone(),
        report => serde_json::to_value(report).unwrap_or_default(),
    };
    pretty(&value)
}

fn pretty(value: &serde_json::Value) -> String {
    format!("{value:#}\n")
}

fn file_check(check: &FileCheck) -> String {
    let file = &check.file;
    let mut text = String::new();
    for fault in &check.faults {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{file}: {fault}");
    }
    if let (Some(number), Some(objects)) = (check.number, check.objects) {
        let _ = writeln!(
            text,
            "{file}: ticket {number} is well formed, {objects} objects"
        );
    }
    text
}

fn submit(report: &SubmitReport) -> String {
    let mut text = format!("ticket {}: {}\n", report.number, report.verdict);
    let Some(wait) = &report.wait else {
        return text;
    };
    // Writing to a string can't fail.
    let _ = if wait.done {
        writeln!(text, "in force on every entry host after {} ms", wait.ms)
    } else {
        let behind = wait.behind.join(", ");
        writeln!(
            text,
            "not known to be in force after {} ms on: {behind}",
            wait.ms
        )
    };
    text
}

fn objects_table(revision: u64, digest: &str, objects: &[ObjectRow]) -> String {
    let mut table = TextTable::new(&["OBJECT", "TICKET", "STATE"]);
    for row in objects {
        table.row([
            format!("{}/{}", row.kind, row.name),
            row.ticket.to_string(),
            row.state.to_string(),
        ]);
    }
    format!("revision {revision}, digest {digest}\n{}", table.finish())
}

fn tickets_table(tickets: &[TicketRow]) -> String {
    let mut table = TextTable::new(&["TICKET", "DIGEST", "VERDICT"]);
    for row in tickets {
        table.row([
            row.number.to_string(),
            row.digest.chars().take(12).collect(),
            row.verdict.to_string(),
        ]);
    }
    table.finish()
}

fn status(report: &StatusReport) -> String {
    let revision = match report.revision {
        Some(revision) => format!("revision {revision} is in force"),
        None => "what is in force is unknown: no quorum answered".to_string(),
    };
    let mut replicas = TextTable::new(&["REPLICA", "ROLE", "TERM", "REVISION", "LAG"]);
    for row in &report.replicas {
        replicas.row(replica_cells(row));
    }
    let mut hosts = TextTable::new(&["HOST", "ZONE", "ADDRESS", "CONDITION", "REVISION", "LAG"]);
    for row in &report.hosts {
        hosts.row(host_cells(row));
    }
    format!("{revision}\n\n{}\n{}", replicas.finish(), hosts.finish())
}

fn replica_cells(row: &ReplicaRow) -> [String; 5] {
    [
        row.address.clone(),
        row.role.clone(),
        cell(row.term),
        cell(row.revision),
        cell(row.lag),
    ]
}

fn host_cells(row: &HostRow) -> [String; 6] {
    [
        row.name.clone(),
        row.zone.clone(),
        row.address.clone(),
        row.condition.clone(),
        cell(row.revision),
        cell(row.lag),
    ]
}

fn cell(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}

/// Columns that are as wide as their widest cell.
struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    fn new(heads: &[&str]) -> Self {
        let heads = heads.iter().map(ToString::to_string).collect();
        Self { rows: vec![heads] }
    }

    fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    fn finish(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            text.push_str(line.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
