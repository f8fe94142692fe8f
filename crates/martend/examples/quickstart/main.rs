//! The main job in one process on loopback: a platform and 50 backend servers as stand-ins, six
//! entry boxes in three availability zones, Tsehay's example file applied through the real
//! interface, a mixed load, one box ended and one backend server broken on the way.
//!
//! With `--stay` it goes on serving, for trying out the callers' interface.

mod load;
mod report;
mod world;

use std::{process::ExitCode, time::Duration};

use crate::{load::Load, world::World};

/// How long the load goes on.
const LOAD_TIME: Duration = Duration::from_secs(15);
/// When one box is ended.
const END_BOX_AFTER: Duration = Duration::from_secs(5);
/// When one backend server stops answering.
const BREAK_SERVER_AFTER: Duration = Duration::from_secs(7);
/// When it answers again, so that what it had begun can be settled.
const MEND_SERVER_AFTER: Duration = Duration::from_secs(13);
/// Fragmentation is looked at this often.
const SAMPLE_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for the last jobs.
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
    let load = Load::begin(&world, LOAD_TIME);
    let mut faults = vec![
        (END_BOX_AFTER, Fault::EndBox),
        (BREAK_SERVER_AFTER, Fault::BreakServer),
        (MEND_SERVER_AFTER, Fault::MendServer),
    ];
    let mut fragmentation = Vec::new();
    while !load.is_over(LOAD_TIME + DRAIN_TIME) {
        for _ in 0..10 {
            smol::Timer::after(SAMPLE_EVERY).await;
            fragmentation.push(world.fragmentation());
        }
        let at = load.elapsed();
        while faults.first().is_some_and(|(when, _)| at >= *when) {
            match faults.remove(0).1 {
                Fault::EndBox => println!("      box {} ends without notice", world.end_one_box()),
                Fault::BreakServer => println!("      backend server {} stops answering", world.break_one_server()),
                Fault::MendServer => println!("      backend server {} answers again", world.mend_server()),
            }
        }
        println!("{:4.0}s {}", at.as_secs_f64(), load.progress());
    }
    Ok(report::print(&world, &load, &fragmentation))
}

enum Fault {
    EndBox,
    BreakServer,
    MendServer,
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
