use comfy_table::{ContentArrangement, Table as Grid, presets};
use laburnumdeal_language::{ChangeReply, ChangeText, ErrorReply, OperatorReply, Table, UtcTime};
use laburnumdeal_model::{AuditRecord, Refusal, Verdict};

use crate::CommandOutcome;

/// Formats a reply as one line of JSON; audit records are one line each.
pub(crate) fn render_json(reply: &OperatorReply) -> Result<String, serde_json::Error> {
    match reply {
        OperatorReply::Audit { records } => {
            let lines: Result<Vec<_>, _> = records.iter().map(serde_json::to_string).collect();
            Ok(lines?.join("\n"))
        }
        reply => serde_json::to_string(reply),
    }
}

/// Formats a reply as text for a terminal. Control characters are replaced, because names from
/// other sources could otherwise send escape sequences to the terminal.
pub(crate) fn render_text(outcome: &CommandOutcome) -> String {
    let command = outcome.request.as_ref().map(|r| r.command.as_str());
    let text = match &outcome.reply {
        OperatorReply::Table(table) => render_table(table),
        OperatorReply::Verdict(change) => render_change(change, command.unwrap_or_default()),
        OperatorReply::Audit { records } => render_records(records),
        OperatorReply::Error(error) => render_error(error),
        OperatorReply::Unknown { command_id, reason } => {
            format!("unknown: {reason}\ncommand {command_id} may or may not have run")
        }
        OperatorReply::NotRun {
            reason,
            retry_after_ms,
        } => format!("not run: {reason}\ntry again after {retry_after_ms} ms"),
    };
    text.chars().map(replace_control_char).collect()
}

fn render_table(table: &Table) -> String {
    let state = if table.confirmed {
        "confirmed as the latest"
    } else {
        "not confirmed as the latest"
    };
    let mut text = format_grid(&table.columns, &table.rows);
    text.push_str(&format!("\n\nversion {}, {state}", table.version));
    if let Some(note) = &table.note {
        text.push_str(&format!("\n{note}"));
    }
    text
}

fn render_change(change: &ChangeReply, command: &str) -> String {
    let pointer = ErrorReply::about("", command, refused_word(&change.verdict));
    let mut lines = vec![change.verdict.to_string()];
    lines.extend(pointer.caret);
    lines.push(format!(
        "command {}, {} ms",
        change.command_id, change.took_ms
    ));
    let groups = [
        ("in force", &change.in_force),
        ("fenced", &change.fenced),
        ("unreachable", &change.unreachable),
    ];
    for (word, names) in groups.iter().filter(|(_, names)| !names.is_empty()) {
        lines.push(format!("{word} on {}: {}", names.len(), names.join(", ")));
    }
    lines.join("\n")
}

/// Returns the word of the command that caused a refusal, or an empty string.
fn refused_word(verdict: &Verdict) -> &str {
    match verdict {
        Verdict::Refused(Refusal::UnknownName { name, .. }) => name,
        Verdict::Refused(Refusal::WrongService { upstream, .. }) => upstream,
        Verdict::Refused(Refusal::NoSteering { block }) => block,
        _ => "",
    }
}

fn render_records(records: &[AuditRecord]) -> String {
    let columns = ["index", "at", "operator", "command id", "change", "verdict"];
    let rows: Vec<Vec<String>> = records.iter().map(record_row).collect();
    format_grid(&columns.map(str::to_owned), &rows)
}

fn record_row(record: &AuditRecord) -> Vec<String> {
    vec![
        record.index.to_string(),
        UtcTime(record.at_ms).to_string(),
        record.operator.clone(),
        record.command_id.to_string(),
        ChangeText(&record.change).to_string(),
        record.verdict.to_string(),
    ]
}

fn render_error(error: &ErrorReply) -> String {
    match &error.caret {
        Some(caret) => format!("error: {}\n{caret}", error.message),
        None => format!("error: {}", error.message),
    }
}

/// Formats rows in aligned columns under upper-case column titles.
fn format_grid(columns: &[String], rows: &[Vec<String>]) -> String {
    let mut grid = Grid::new();
    grid.load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(columns.iter().map(|column| column.to_uppercase()))
        .add_rows(rows);
    for column in grid.column_iter_mut() {
        column.set_padding((0, 2));
    }
    let lines: Vec<String> = grid.lines().map(|l| l.trim_end().to_owned()).collect();
    lines.join("\n")
}

fn replace_control_char(c: char) -> char {
    if c.is_control() && c != '\n' {
        char::REPLACEMENT_CHARACTER
    } else {
        c
    }
}
