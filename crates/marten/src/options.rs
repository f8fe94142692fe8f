//! The command line.

use std::net::SocketAddr;

use log::LevelFilter;
use logs::LogFormat;
use model::Revision;

use crate::exit::Failure;

const USAGE: &str = "usage: marten COMMAND [ARGUMENTS] [OPTIONS]

commands:
  check FILE              check an operators' file without contacting a box
  diff FILE               show how FILE differs from the configuration in force
  apply FILE              put FILE in force as a whole
  status                  show boxes, backend servers and the revisions that they have
  submit FILE             submit the job that FILE describes, and wait until it has ended
  wait CUSTOMER REQUEST   wait until a job has ended
  cancel CUSTOMER REQUEST cancel a job
  evacuate ZONE           start nothing more in an availability zone; --take-back ends that, --follow waits until
                          nothing runs there; --box names boxes' operators' addresses (metrics_address)
  explain JOB [LOG...]    show the history of a job from boxes' logs, or from standard input
  drain FILE SERVER       mark the backend server SERVER in FILE as draining

exit codes: 0 done; 2 invalid command line; 3 refused, nothing changed; 4 another change was applied first;
  5 no response, retry; 6 the job ended without success; 7 the job has not ended yet";

/// Format of results on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Command {
    Check { file: String },
    Diff { file: String },
    Apply { file: String, base: Option<Revision> },
    Status,
    Submit { file: String, detach: bool },
    Wait { customer: String, request: String },
    Cancel { customer: String, request: String },
    Drain { file: String, server: String },
    Evacuate { zone: String, end: bool, follow: bool },
    Explain { job: String, logs: Vec<String> },
}

/// The parsed command line.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    pub(crate) command: Command,
    pub(crate) boxes: Vec<SocketAddr>,
    pub(crate) format: Format,
    pub(crate) timeout_s: u64,
    pub(crate) log_level: LevelFilter,
    pub(crate) log_format: LogFormat,
}

fn option_definitions() -> getopts::Options {
    let mut opts = getopts::Options::new();
    opts.optmulti(
        "b",
        "box",
        "a box's address for callers; may be given again, the next is tried if one fails",
        "ADDR",
    );
    opts.optopt("o", "output", "table (the default) or json", "FORM");
    opts.optopt("", "from", "apply: the revision that FILE was edited from; by default the one in force", "REVISION");
    opts.optopt("t", "timeout", "longest time to wait for a job, in seconds (600)", "SECONDS");
    opts.optflag("", "detach", "submit: return as soon as the platform's store has the job");
    opts.optflag("", "take-back", "evacuate: work may start there again");
    opts.optflag("", "follow", "evacuate: show what still runs there until nothing does");
    opts.optopt("", "log", "error, warn (the default), info, debug or trace", "LEVEL");
    opts.optflag("", "log-json", "write log lines as JSON, one object a line");
    opts.optflag("h", "help", "show this text");
    opts
}

/// Returns the help text.
pub(crate) fn usage() -> String {
    option_definitions().usage(USAGE)
}

impl Options {
    /// Parses the command line; `None` if help was requested. Returns [`Failure::Usage`] if it is invalid.
    pub(crate) fn parse(args: &[String]) -> Result<Option<Options>, Failure> {
        let matches = option_definitions().parse(args).map_err(|e| usage_error(&e.to_string()))?;
        if matches.opt_present("help") {
            return Ok(None);
        }
        let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
        let base = parse_opt(&matches, "from", "a revision")?;
        let mut command = parse_command(&free, base.map(Revision), matches.opt_present("detach"))?;
        if let Command::Evacuate { end, follow, .. } = &mut command {
            (*end, *follow) = (matches.opt_present("take-back"), matches.opt_present("follow"));
        }
        let boxes = matches.opt_strs("box");
        let boxes: Result<Vec<SocketAddr>, Failure> = boxes
            .iter()
            .map(|text| text.parse().map_err(|_| usage_error(&format!("--box {text}: allowed is IP:PORT"))))
            .collect();
        let format = match matches.opt_str("output").as_deref() {
            None | Some("table") => Format::Table,
            Some("json") => Format::Json,
            Some(other) => return Err(usage_error(&format!("--output {other}: allowed are table and json"))),
        };
        Ok(Some(Options {
            command,
            boxes: boxes?,
            format,
            timeout_s: parse_opt(&matches, "timeout", "a number of seconds")?.unwrap_or(600),
            log_format: if matches.opt_present("log-json") { LogFormat::Json } else { LogFormat::Text },
            log_level: parse_opt(&matches, "log", "a level")?.unwrap_or(LevelFilter::Warn),
        }))
    }
}

fn parse_command(free: &[&str], base: Option<Revision>, detach: bool) -> Result<Command, Failure> {
    let own = |text: &str| text.to_owned();
    match free {
        ["check", file] => Ok(Command::Check { file: own(file) }),
        ["diff", file] => Ok(Command::Diff { file: own(file) }),
        ["apply", file] => Ok(Command::Apply { file: own(file), base }),
        ["status"] => Ok(Command::Status),
        ["submit", file] => Ok(Command::Submit { file: own(file), detach }),
        ["wait", customer, request] => Ok(Command::Wait { customer: own(customer), request: own(request) }),
        ["cancel", customer, request] => Ok(Command::Cancel { customer: own(customer), request: own(request) }),
        ["drain", file, server] => Ok(Command::Drain { file: own(file), server: own(server) }),
        ["evacuate", zone] => Ok(Command::Evacuate { zone: own(zone), end: false, follow: false }),
        ["explain", job, logs @ ..] => {
            Ok(Command::Explain { job: own(job), logs: logs.iter().map(|path| own(path)).collect() })
        }
        [] => Err(usage_error("no command is given")),
        [first, ..] => Err(usage_error(&format!("{first}: no such command, or not with these arguments"))),
    }
}

fn parse_opt<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
    allowed: &str,
) -> Result<Option<T>, Failure> {
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    text.parse().map(Some).map_err(|_| usage_error(&format!("--{name} {text}: allowed is {allowed}")))
}

fn usage_error(why: &str) -> Failure {
    Failure::Usage { why: format!("{why}\n\n{USAGE}") }
}
