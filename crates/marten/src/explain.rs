//! Shows the history of a job from the logs of boxes.

use std::io::Read;

use crate::exit::Failure;

/// A log line with its time.
struct Line {
    /// Milliseconds since the Unix epoch by the clock of the box that wrote the line.
    at_ms: u64,
    text: String,
    /// Whether the line is about which box schedules rather than about the job.
    is_about_scheduler: bool,
}

/// Event of a box that was elected and schedules. Compared as a substring; the trailing space excludes longer values
/// that begin with it.
const ELECTED: &str = "event=elected ";
/// Events about which box schedules, shown between the first and last line of a job. Compared in the same way.
const SCHEDULER_EVENTS: [&str; 4] = [ELECTED, "event=stopped_scheduling ", "event=deposed ", "event=scheduling "];

/// Prints the lines about `job` in order of time, with the changes of the scheduling box between them. Reads standard
/// input if `files` is empty.
///
/// Returns [`Failure::Refused`] if a file cannot be read or no line is about the job.
pub(crate) fn explain(job: &str, files: &[String]) -> Result<(), Failure> {
    let text = read_all(files)?;
    let lines = job_history(job, &text);
    if lines.is_empty() {
        return Err(Failure::Refused { why: format!("no line is about job {job}") });
    }
    for line in lines {
        print_line!("{line}");
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

/// Returns the lines about a job and about changes of the scheduling box, in order of time, from the last election
/// before the job's first line to the job's last line. Each has its offset from the job's first line.
fn job_history(job: &str, text: &str) -> Vec<String> {
    let job_field = format!("job={job}");
    let mut lines: Vec<Line> = text.lines().filter_map(|text| parse_line(text, &job_field)).collect();
    lines.sort_by_key(|line| line.at_ms);
    let is_about_job = |line: &Line| !line.is_about_scheduler;
    let Some(first) = lines.iter().position(is_about_job) else { return Vec::new() };
    let last = lines.iter().rposition(is_about_job).unwrap_or(first);
    // The last election before the job's first line shows which box scheduled at that time.
    let from = lines[..first].iter().rposition(|line| line.text.contains(ELECTED)).unwrap_or(first);
    let first_ms = lines[first].at_ms;
    lines[from..=last]
        .iter()
        .map(|line| format!("{:+9.3}s {}", (line.at_ms as f64 - first_ms as f64) / 1000.0, line.text.trim()))
        .collect()
}

fn parse_line(text: &str, job_field: &str) -> Option<Line> {
    let is_about_job = text.split_whitespace().any(|field| field == job_field);
    let is_about_scheduler = !is_about_job && SCHEDULER_EVENTS.iter().any(|event| text.contains(event));
    if !is_about_job && !is_about_scheduler {
        return None;
    }
    // Log collectors may prepend fields of their own, so the time is the field before the level.
    let fields: Vec<&str> = text.split_whitespace().collect();
    let level = fields.iter().position(|field| ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"].contains(field))?;
    let (seconds, millis) = fields.get(level.checked_sub(1)?)?.split_once('.')?;
    let at_ms = seconds.parse::<u64>().ok()? * 1000 + millis.parse::<u64>().ok()?;
    Some(Line { at_ms, text: text.to_owned(), is_about_scheduler })
}
