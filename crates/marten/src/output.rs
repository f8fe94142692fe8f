//! Writes results as tables for people or as JSON for programs.

use model::Revision;
use serde_json::{Value, json};

use crate::options::Format;

pub(crate) fn applied(format: Format, revision: Revision) {
    match format {
        Format::Table => print_line!("accepted as revision {revision}"),
        Format::Json => print_line!("{}", json!({ "status": "accepted", "revision": revision })),
    }
}

pub(crate) fn differences(format: Format, revision: Revision, lines: &[String]) {
    match format {
        Format::Json => print_line!("{}", json!({ "revision": revision, "differences": lines })),
        Format::Table if lines.is_empty() => print_line!("the same as revision {revision}, which is in force"),
        Format::Table => {
            print_line!("against revision {revision}, which is in force:");
            for line in lines {
                print_line!("  {line}");
            }
        }
    }
}

pub(crate) fn job(format: Format, answer: &Value) {
    match format {
        Format::Json => print_line!("{answer}"),
        Format::Table => match answer.pointer("/outcome/answer").and_then(Value::as_str) {
            Some(text) => print_line!("{text}"),
            None => print_line!("{answer}"),
        },
    }
}

pub(crate) fn status(format: Format, report: &Value) {
    if format == Format::Json {
        print_line!("{report}");
        return;
    }
    let text = |value: &Value, name: &str| value.get(name).map(to_plain_text).unwrap_or_default();
    print_line!(
        "box {} in {}; revision {} in force, {} heard of; planner {}{}",
        text(report, "box_id"),
        text(report, "availability_zone"),
        text(report, "revision"),
        text(report, "heard_of"),
        text(report, "planner"),
        if report.get("leaving") == Some(&Value::Bool(true)) { "; LEAVING" } else { "" },
    );
    if let Some(Value::Object(jobs)) = report.get("jobs") {
        let counts: Vec<String> = jobs.iter().map(|(name, n)| format!("{name} {n}")).collect();
        print_line!("jobs: {}", counts.join(", "));
    }
    if let Some(speeds) = report.get("speeds").filter(|speeds| speeds.is_object()) {
        print_line!(
            "speeds: {} known, {} of them restored and not measured yet; in use {}",
            text(speeds, "known"),
            text(speeds, "restored"),
            text(speeds, "in_use"),
        );
    }
    table("boxes", report.get("boxes"), &["id", "live", "leaving", "returns"]);
    table("backend servers", report.get("backend_servers"), &["id", "open", "revision", "leases", "held", "why"]);
}

fn table(title: &str, rows: Option<&Value>, columns: &[&str]) {
    let Some(Value::Array(rows)) = rows else { return };
    print_line!("\n{title}:");
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| columns.iter().map(|c| row.get(c).map(to_plain_text).unwrap_or_default()).collect())
        .collect();
    let width = |i: usize| cells.iter().map(|row| row[i].len()).chain([columns[i].len()]).max().unwrap_or(0);
    let line = |row: &[String]| {
        let padded: Vec<String> = row.iter().enumerate().map(|(i, cell)| format!("{cell:<w$}", w = width(i))).collect();
        print_line!("  {}", padded.join("  ").trim_end());
    };
    line(&columns.iter().map(|c| (*c).to_owned()).collect::<Vec<_>>());
    for row in &cells {
        line(row);
    }
}

fn to_plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(fields) => fields.iter().map(|(name, v)| format!("{name} {v}")).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}
