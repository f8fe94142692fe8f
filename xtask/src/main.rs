//! Chores of the project: `cargo xtask codegen`, `cargo xtask tidy`.

mod codegen;
mod plans;
mod replays;
mod slopes;
mod tidy;

use std::process::ExitCode;

const USAGE: &str = "usage: cargo xtask COMMAND

commands:
  codegen [--check]  make the generated code from its sources; with --check only compare
  replay             measure placement against two baselines (use `cargo run --release -p xtask -- replay`)
  plans              measure what a plan costs at several sizes (use --release, as above)
  slopes             measure what one more worker, task or byte costs (use --release, as above)
  tidy               check what the linter cannot: docs, file sizes, generated code, paths, words";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args.as_slice() {
        ["codegen"] => codegen::write(),
        ["codegen", "--check"] => codegen::check(),
        ["replay"] => replays::run(),
        ["plans"] => plans::run(),
        ["slopes"] => slopes::run(),
        ["tidy"] => tidy::check(),
        ["--help" | "-h"] => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        _ => Err(USAGE.to_owned()),
    };
    match result {
        Ok(said) => {
            println!("{said}");
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
