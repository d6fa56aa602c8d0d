//! Formats reports as tables or JSON.

use std::fmt::Write as _;

use crate::args::ReportFormat;
use crate::check::FileCheck;
use crate::explain::{ExplainedLine, RequestExplanation};
use crate::report::{
    CommandReport, HostRow, ObjectRow, ReplicaRow, StatusReport, SubmitReport, TicketRow,
};

/// Fields of log lines that an explanation leaves out.
const HIDDEN_FIELDS: [&str; 2] = ["level", "request"];

/// Formats a report as text that ends with a newline.
pub fn render(report: &CommandReport, format: ReportFormat) -> String {
    if format == ReportFormat::Json {
        return render_json(report);
    }
    match report {
        CommandReport::Check { files } => files.iter().map(render_file_check).collect(),
        CommandReport::Submit(report) => render_submit(report),
        CommandReport::Preview { number, verdict } => {
            format!("ticket {number} would be: {verdict}\n")
        }
        CommandReport::Objects {
            revision,
            digest,
            objects,
        } => render_objects(*revision, digest, objects),
        CommandReport::Tickets { tickets } => render_tickets(tickets),
        CommandReport::Status(report) => render_status(report),
        CommandReport::Explanation(explanation) => render_explanation(explanation),
        CommandReport::Dump { state } => pretty_json(state),
    }
}

fn render_explanation(explanation: &RequestExplanation) -> String {
    let mut text = format!("request {}\n", explanation.request);
    for sentence in &explanation.summary {
        // Writing to a string never fails.
        let _ = writeln!(text, "  {sentence}");
    }
    let sections = [
        ("its lines", &explanation.lines),
        ("lines about its backend servers", &explanation.servers),
        ("events around it", &explanation.events),
    ];
    for (title, lines) in sections {
        if lines.is_empty() {
            continue;
        }
        let _ = writeln!(text, "\n{title}, by milliseconds since its start:");
        for line in lines {
            text.push_str(&render_explained_line(line));
        }
    }
    for (message, count) in &explanation.other_servers {
        let _ = writeln!(
            text,
            "{count:>8}  times about other backend servers: {message}"
        );
    }
    if explanation.omitted_events > 0 {
        let _ = writeln!(text, "{} later events left out", explanation.omitted_events);
    }
    if explanation.unreadable_lines > 0 {
        let count = explanation.unreadable_lines;
        let _ = writeln!(text, "{count} lines with the id can't be read as JSON");
    }
    text
}

fn render_explained_line(line: &ExplainedLine) -> String {
    let others = match line.others {
        0 => String::new(),
        others => format!(" and {others} more"),
    };
    let (offset, source, part) = (line.offset_ms, &line.source, &line.part);
    let mut text = format!("{offset:>8}  {source}{others}  {part}: {}", line.message);
    let fields = line.fields.iter();
    for (name, value) in fields.filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str())) {
        let _ = write!(text, " {name}={value}");
    }
    text.push('\n');
    text
}

fn render_json(report: &CommandReport) -> String {
    let value = match report {
        CommandReport::Dump { state } => state.clone(),
        report => serde_json::to_value(report).unwrap_or_default(),
    };
    pretty_json(&value)
}

fn pretty_json(value: &serde_json::Value) -> String {
    format!("{value:#}\n")
}

fn render_file_check(check: &FileCheck) -> String {
    let file = &check.file;
    let mut text = String::new();
    for fault in &check.faults {
        // Writing to a string never fails.
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

fn render_submit(report: &SubmitReport) -> String {
    let mut text = format!("ticket {}: {}\n", report.number, report.verdict);
    let Some(wait) = &report.wait else {
        return text;
    };
    // Writing to a string never fails.
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

fn render_objects(revision: u64, digest: &str, objects: &[ObjectRow]) -> String {
    let mut table = TextTable::new(&["OBJECT", "TICKET", "STATE"]);
    for row in objects {
        table.add_row([
            format!("{}/{}", row.kind, row.name),
            row.ticket.to_string(),
            row.state.to_string(),
        ]);
    }
    format!(
        "revision {revision}, digest {digest}\n{}",
        table.into_text()
    )
}

fn render_tickets(tickets: &[TicketRow]) -> String {
    let mut table = TextTable::new(&["TICKET", "DIGEST", "VERDICT"]);
    for row in tickets {
        table.add_row([
            row.number.to_string(),
            row.digest.chars().take(12).collect(),
            row.verdict.to_string(),
        ]);
    }
    table.into_text()
}

fn render_status(report: &StatusReport) -> String {
    let revision = match report.revision {
        Some(revision) => format!("revision {revision} is in force"),
        None => "what is in force is unknown: no quorum answered".to_string(),
    };
    let mut replicas = TextTable::new(&["REPLICA", "ROLE", "TERM", "REVISION", "LAG"]);
    for row in &report.replicas {
        replicas.add_row(replica_cells(row));
    }
    let mut hosts = TextTable::new(&["HOST", "ZONE", "ADDRESS", "CONDITION", "REVISION", "LAG"]);
    for row in &report.hosts {
        hosts.add_row(host_cells(row));
    }
    format!(
        "{revision}\n\n{}\n{}",
        replicas.into_text(),
        hosts.into_text()
    )
}

fn replica_cells(row: &ReplicaRow) -> [String; 5] {
    [
        row.address.clone(),
        row.role.clone(),
        optional_cell(row.term),
        optional_cell(row.revision),
        optional_cell(row.lag),
    ]
}

fn host_cells(row: &HostRow) -> [String; 6] {
    [
        row.name.clone(),
        row.zone.clone(),
        row.address.clone(),
        row.condition.clone(),
        optional_cell(row.revision),
        optional_cell(row.lag),
    ]
}

fn optional_cell(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}

/// A table whose columns are padded to their widest cell; the first row has the headings.
struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(ToString::to_string).collect();
        Self {
            rows: vec![headings],
        }
    }

    fn add_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    fn into_text(self) -> String {
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
