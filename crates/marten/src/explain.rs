//! Tells a job's life from the logs of boxes.

use std::io::Read;

use crate::exit::Failure;

/// A log line, placed in time.
struct Line {
    /// Milliseconds since 1970, as the box that wrote it saw them.
    at_ms: u64,
    text: String,
    /// It tells who schedules, not what happened to a job.
    about_scheduler: bool,
}

/// Events that tell who schedules; they are shown between a job's first and last line.
const SCHEDULER_EVENTS: [&str; 4] = ["event=elected", "event=stopped_scheduling", "event=deposed", "event=scheduling "];

/// Prints every line about `job` in `files`, or in standard input if there are none, in the order of time,
/// together with the elections between them.
pub(crate) fn explain(job: &str, files: &[String]) -> Result<(), Failure> {
    let text = read_all(files)?;
    let lines = job_life(job, &text);
    if lines.is_empty() {
        return Err(Failure::Refused { why: format!("no line is about job {job}") });
    }
    for line in lines {
        say!("{line}");
    }
    Ok(())
}

fn read_all(files: &[String]) -> Result<String, Failure> {
    let mut text = String::new();
    let refused = |path: &str, e: std::io::Error| Failure::Refused { why: format!("{path}: {e}") };
    for path in files {
        let bytes = std::fs::read(path).map_err(|e| refused(path, e))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    if files.is_empty() {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes).map_err(|e| refused("standard input", e))?;
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    Ok(text)
}

/// The lines about a job in the order of time, each with its distance from the first.
fn job_life(job: &str, text: &str) -> Vec<String> {
    let wanted = format!("job={job}");
    let mut lines: Vec<Line> = text.lines().filter_map(|text| read_line(text, &wanted)).collect();
    lines.sort_by_key(|line| line.at_ms);
    let about_job = |line: &Line| !line.about_scheduler;
    let Some(first) = lines.iter().position(about_job) else { return Vec::new() };
    let last = lines.iter().rposition(about_job).unwrap_or(first);
    // The scheduler at the beginning is told by the last election before it.
    let from = lines[..first].iter().rposition(|line| line.text.contains("event=elected")).unwrap_or(first);
    let begin = lines[first].at_ms;
    lines[from..=last]
        .iter()
        .map(|line| format!("{:+9.3}s {}", (line.at_ms as f64 - begin as f64) / 1000.0, line.text.trim()))
        .collect()
}

fn read_line(text: &str, wanted: &str) -> Option<Line> {
    let about_job = text.split_whitespace().any(|field| field == wanted);
    let about_scheduler = !about_job && SCHEDULER_EVENTS.iter().any(|event| text.contains(event));
    if !about_job && !about_scheduler {
        return None;
    }
    // What collects logs may write fields of its own before a line: its time is the number before the level.
    let fields: Vec<&str> = text.split_whitespace().collect();
    let level = fields.iter().position(|field| ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"].contains(field))?;
    let (seconds, millis) = fields.get(level.checked_sub(1)?)?.split_once('.')?;
    let at_ms = seconds.parse::<u64>().ok()? * 1000 + millis.parse::<u64>().ok()?;
    Some(Line { at_ms, text: text.to_owned(), about_scheduler })
}
