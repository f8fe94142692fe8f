//! `marten`: the command line of operators and callers. `marten --help` lists the commands.

/// Writes a line to standard output. Ignores errors, as a reader such as `head` may close the pipe early.
macro_rules! print_line {
    ($($text:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}

mod client;
mod commands;
mod diff;
mod evacuate;
mod exit;
mod explain;
mod options;
mod output;
mod submit;

use std::process::ExitCode;

use crate::{exit::Failure, options::Options};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match Options::parse(&args) {
        Ok(None) => {
            print!("{}", options::usage());
            ExitCode::SUCCESS
        }
        Ok(Some(opts)) => {
            logs::init(opts.log_level, opts.log_format);
            exit_code(smol::block_on(commands::run(&opts)))
        }
        Err(e) => exit_code(Err(e)),
    }
}

fn exit_code(result: Result<(), Failure>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("marten: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
