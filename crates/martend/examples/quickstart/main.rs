//! A demonstration in one process on loopback: stand-ins for a platform and 50 backend servers, and six entry boxes in
//! three availability zones. It applies the example file `tsehay.json` through the operators' API, runs a mixed load,
//! ends one box and disconnects one backend server meanwhile.
//!
//! With `--stay` the boxes serve until Ctrl-C, for trying out the callers' API.

mod load;
mod report;
mod world;

use std::{process::ExitCode, time::Duration};

use crate::{load::Load, world::World};

/// Time over which jobs are submitted.
const LOAD_TIME: Duration = Duration::from_secs(15);
/// Time after which one box is ended.
const END_BOX_AFTER: Duration = Duration::from_secs(5);
/// Time after which one backend server is disconnected.
const DISCONNECT_SERVER_AFTER: Duration = Duration::from_secs(7);
/// Time after which it is reconnected, so that its runs can be resolved.
const RECONNECT_SERVER_AFTER: Duration = Duration::from_secs(13);
/// Interval between samples of fragmentation.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the last jobs after the load.
const DRAIN_TIME: Duration = Duration::from_secs(25);

fn main() -> ExitCode {
    martend::telemetry::init_metrics();
    let stay = std::env::args().any(|arg| arg == "--stay");
    let result = smol::block_on(run(stay));
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violations) => {
            eprintln!("{violations} invariants were broken");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("the quickstart cannot run: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(stay: bool) -> Result<usize, Box<dyn std::error::Error>> {
    println!("starting the platform, 50 backend servers and 6 boxes in 3 availability zones ...");
    let mut world = World::start().await?;
    let revision = world.apply().await?;
    println!("examples/tsehay.json applied through {}: revision {revision} is in force everywhere", world.first_box());
    if stay {
        return stay_up(&world).await;
    }
    let load = Load::start(&world, LOAD_TIME);
    let mut faults = vec![
        (END_BOX_AFTER, Fault::EndBox),
        (DISCONNECT_SERVER_AFTER, Fault::DisconnectServer),
        (RECONNECT_SERVER_AFTER, Fault::ReconnectServer),
    ];
    let mut fragmentation = Vec::new();
    while !load.is_over(LOAD_TIME + DRAIN_TIME) {
        for _ in 0..10 {
            smol::Timer::after(SAMPLE_INTERVAL).await;
            fragmentation.push(world.fragmentation());
        }
        let at = load.elapsed();
        while faults.first().is_some_and(|(when, _)| at >= *when) {
            match faults.remove(0).1 {
                Fault::EndBox => println!("      box {} ends without notice", world.end_one_box()),
                Fault::DisconnectServer => {
                    println!("      backend server {} stops answering", world.disconnect_one_server())
                }
                Fault::ReconnectServer => println!("      backend server {} answers again", world.reconnect_server()),
            }
        }
        println!("{:4.0}s {}", at.as_secs_f64(), load.progress());
    }
    Ok(report::print(&world, &load, &fragmentation))
}

enum Fault {
    EndBox,
    DisconnectServer,
    ReconnectServer,
}

async fn stay_up(world: &World) -> Result<usize, Box<dyn std::error::Error>> {
    println!("boxes for callers and operators:");
    for addr in world.caller_addresses() {
        println!("  {addr}");
    }
    println!("press Ctrl-C to end");
    std::future::pending::<()>().await;
    Ok(0)
}
