//! `martend`: the daemon of an entry box.

use std::process::ExitCode;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use martend::{Parts, RawSettings, Settings, deployment, start, telemetry};
use policy::CellPlanner;
use smol::net::TcpListener;

const USAGE: &str =
    "usage: martend --settings FILE [--check]\n\nWithout --settings, the variable MARTENSCALE_CONFIG names the file.";

/// Environment variable that names the settings file if the command line does not.
const SETTINGS_VARIABLE: &str = "MARTENSCALE_CONFIG";
/// Exit code if the settings are missing or invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code if the daemon could not start.
const EXIT_START: u8 = 1;

fn main() -> ExitCode {
    let mut opts = getopts::Options::new();
    opts.optopt("s", "settings", "the daemon's settings, in JSON (docs/OPERATIONS.md)", "FILE");
    opts.optflag("", "check", "check the settings and end");
    opts.optflag("h", "help", "show this text");
    let matches = match opts.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => return fail(EXIT_SETTINGS, &format!("{e}\n{USAGE}")),
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let Some(path) = matches.opt_str("settings").or_else(|| std::env::var(SETTINGS_VARIABLE).ok()) else {
        return fail(EXIT_SETTINGS, USAGE);
    };
    if deployment::has_deployment_settings(&path) {
        return run_deployment(&path, matches.opt_present("check"));
    }
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(why) => return fail(EXIT_SETTINGS, &why),
    };
    if matches.opt_present("check") {
        println!("{path}: the settings can be used");
        return ExitCode::SUCCESS;
    }
    logs::init(settings.log.level, settings.log.format);
    telemetry::init_metrics();
    match smol::block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(EXIT_START, &format!("martend cannot run: {e}")),
    }
}

fn run_deployment(path: &str, check_only: bool) -> ExitCode {
    let settings = match deployment::read(path) {
        Ok(settings) => settings,
        Err(why) => return fail(EXIT_SETTINGS, &why),
    };
    if check_only {
        println!("{path}: the settings can be used");
        return ExitCode::SUCCESS;
    }
    logs::init_service(settings.log_level);
    telemetry::init_metrics();
    telemetry::init_panic_log();
    let result = smol::block_on(deployment::run(settings, path));
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(EXIT_START, &format!("martend cannot run: {e}")),
    }
}

fn fail(code: u8, why: &str) -> ExitCode {
    eprintln!("{why}");
    ExitCode::from(code)
}

fn read_settings(path: &str) -> Result<Settings, String> {
    let text = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    let raw: RawSettings = model::from_json(&text).map_err(|e| format!("{path}: {e}"))?;
    Settings::try_from(raw).map_err(|e| format!("{path}: {e}"))
}

async fn run(settings: Settings) -> std::io::Result<()> {
    let callers = TcpListener::bind(settings.callers_address).await?;
    let peers = TcpListener::bind(settings.peers_address).await?;
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let name = settings.box_id.clone();
    let planner = Box::new(CellPlanner::new(settings.availability_zone.clone()));
    let daemon = start(settings, Parts { callers, peers, planner })?;
    let addresses = daemon.addresses;
    log::info!("event=started box={name} callers={} peers={}", addresses.callers, addresses.peers);
    if signals.next().await.is_some() {
        daemon.drain().await;
    }
    daemon.wait_stopped().await;
    Ok(())
}
