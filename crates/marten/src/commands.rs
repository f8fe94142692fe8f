//! The operators' commands.

use std::time::Duration;

use hyper::{Method, StatusCode};
use model::{ApplyId, BackendServerId, OperatorFile, Revision, ServerMode};
use serde::{Deserialize, Serialize};
use spread::Document;

use crate::{
    client::{Boxes, refused},
    diff::differences,
    evacuate,
    exit::Failure,
    explain,
    options::{Command, Options},
    output, submit,
};

/// Runs the command of the command line.
pub(crate) async fn run(opts: &Options) -> Result<(), Failure> {
    match &opts.command {
        Command::Check { file } => check(file),
        Command::Diff { file } => diff(opts, file).await,
        Command::Apply { file, base } => apply(opts, file, *base).await,
        Command::Status => status(opts).await,
        Command::Submit { file, detach } => submit::submit(opts, file, *detach).await,
        Command::Wait { customer, request } => submit::wait(opts, customer, request).await,
        Command::Cancel { customer, request } => submit::cancel(opts, customer, request).await,
        Command::Drain { file, server } => drain(file, server),
        Command::Evacuate { zone, end, follow } => evacuate::evacuate(opts, zone, *end, *follow).await,
        Command::Explain { job, logs } => explain::explain(job, logs),
    }
}

pub(crate) fn read_file(path: &str) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|e| Failure::Refused { why: format!("{path}: {e}") })
}

/// Reads and checks an operators' file, including its guarantees.
fn read_operator_file(path: &str) -> Result<OperatorFile, Failure> {
    let refused = |why: String| Failure::Refused { why: format!("{path}: {why}") };
    let file: OperatorFile = model::from_json(&read_file(path)?).map_err(|e| refused(e.to_string()))?;
    policy::check_guarantees(&file).map_err(|e| refused(e.to_string()))?;
    Ok(file)
}

fn check(path: &str) -> Result<(), Failure> {
    let file = read_operator_file(path)?;
    let guarantees: u32 = file.customers.values().flat_map(|c| &c.guarantees).map(|g| g.gangs).sum();
    print_line!(
        "{path}: {} customers, {} classes, {} backend servers; all {guarantees} guaranteed gangs have a place",
        file.customers.len(),
        file.classes.len(),
        file.backend_servers.len()
    );
    Ok(())
}

async fn diff(opts: &Options, path: &str) -> Result<(), Failure> {
    let file = read_operator_file(path)?;
    let current = current_document(&Boxes::new(&opts.boxes)?).await?;
    let lines = differences(current.as_ref().map(|doc| &doc.file), &file);
    output::differences(opts.format, current.map_or(Revision(0), |doc| doc.revision), &lines);
    Ok(())
}

/// Returns the document in force, `None` if there is none yet.
async fn current_document(boxes: &Boxes) -> Result<Option<Document>, Failure> {
    let reply = boxes.call(Method::GET, "/v1/configuration", Vec::new(), Duration::ZERO).await?;
    match reply.status {
        StatusCode::OK => Ok(Some(reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() })?)),
        StatusCode::NOT_FOUND => Ok(None),
        _ => Err(refused(&reply)),
    }
}

#[derive(Serialize)]
struct Apply<'a> {
    apply: ApplyId,
    base: Revision,
    file: &'a OperatorFile,
}

#[derive(Deserialize)]
#[serde(tag = "status", rename_all = "snake_case")]
enum ApplyResult {
    Accepted { revision: Revision },
    Conflict { standing: Option<Box<Document>> },
    Undecided { error: String },
    Broken { error: String },
}

async fn apply(opts: &Options, path: &str, base: Option<Revision>) -> Result<(), Failure> {
    let file = read_operator_file(path)?;
    let boxes = Boxes::new(&opts.boxes)?;
    let before = current_document(&boxes).await?;
    let base = base.unwrap_or(before.as_ref().map_or(Revision(0), |doc| doc.revision));
    let id = format!("a-{:016x}", fastrand::u64(..)).parse().expect("hexadecimal digits make a valid id");
    let body = serde_json::to_vec(&Apply { apply: id, base, file: &file }).expect("our own types always serialize");
    // The apply id makes this idempotent: a retry after a lost response gets the earlier result.
    let reply = boxes.call(Method::PUT, "/v1/configuration", body, Duration::from_secs(20)).await?;
    if reply.status == StatusCode::BAD_REQUEST {
        return Err(refused(&reply));
    }
    match reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() })? {
        ApplyResult::Accepted { revision } => {
            output::applied(opts.format, revision);
            Ok(())
        }
        ApplyResult::Conflict { standing: current } => Err(conflict(base, before, current.map(|doc| *doc), &file)),
        ApplyResult::Undecided { error } | ApplyResult::Broken { error } => Err(Failure::Unavailable { why: error }),
    }
}

/// Describes both changes: the other one since the base revision, and that of the file.
fn conflict(base: Revision, before: Option<Document>, current: Option<Document>, file: &OperatorFile) -> Failure {
    let revision = current.as_ref().map_or(Revision(0), |doc| doc.revision);
    let mut why =
        format!("the file was edited from revision {base}, but revision {revision} is in force; nothing was changed");
    let ancestor = before.filter(|doc| doc.revision == base).map(|doc| doc.file);
    if let (Some(ancestor), Some(current)) = (&ancestor, &current) {
        why.push_str("\ntheir change:");
        for line in differences(Some(ancestor), &current.file) {
            why.push_str(&format!("\n  {line}"));
        }
    }
    why.push_str("\nyour file against what is in force:");
    for line in differences(current.as_ref().map(|doc| &doc.file), file) {
        why.push_str(&format!("\n  {line}"));
    }
    Failure::Conflict { why }
}

async fn status(opts: &Options) -> Result<(), Failure> {
    let report: serde_json::Value = Boxes::new(&opts.boxes)?.get("/v1/status").await?;
    output::status(opts.format, &report);
    Ok(())
}

/// Marks a backend server as draining in the file; this takes effect once the file is applied.
fn drain(path: &str, server: &str) -> Result<(), Failure> {
    let mut file = read_operator_file(path)?;
    let id: BackendServerId = server.parse().map_err(|e| Failure::Usage { why: format!("{e}") })?;
    let Some(entry) = file.backend_servers.get_mut(&id) else {
        return Err(Failure::Refused { why: format!("{path}: it has no backend server {id}") });
    };
    entry.mode = ServerMode::Draining;
    policy::check_guarantees(&file).map_err(|e| Failure::Refused { why: format!("without {id}: {e}") })?;
    let text = serde_json::to_string_pretty(&file).expect("our own types always serialize");
    std::fs::write(path, text + "\n").map_err(|e| Failure::Refused { why: format!("{path}: {e}") })?;
    print_line!("{path}: {id} is marked as draining; apply the file for this to take effect");
    Ok(())
}
