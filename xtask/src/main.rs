//! Development tasks of the project, run as `cargo xtask COMMAND`: code generation, measurements of planners, and
//! checks that the linter can't make.

mod codegen;
mod plans;
mod replays;
mod slopes;
mod tidy;

use std::process::ExitCode;

const USAGE: &str = "usage: cargo xtask COMMAND

commands:
  codegen [--check]  generate code from the .proto files; with --check only compare it with the committed code
  replay             compare placement with two baselines (use `cargo run --release -p xtask -- replay`)
  plans              measure the cost of a plan at several sizes (use --release, as above)
  slopes             measure the marginal cost of a worker, task or byte (use --release, as above)
  tidy               check what the linter can't: docs, file sizes, generated code, paths, words";

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
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
