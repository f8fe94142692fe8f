//! With many boxes, only some watch the configuration in the store and relay it to the others.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{World, until};
use serde_json::Value;

/// Number of boxes, above the number that may watch.
const BOXES: usize = 40;
/// Number of relay boxes among them.
const RELAYS: usize = 32;
const CONFIGURATION_KEY: &str = "op/config";
const RELAY_BOXES: &str = "marten/scheduler/relays";

/// Returns the indices of the relay boxes.
fn relays(world: &World) -> BTreeSet<usize> {
    let stored: Value =
        world.platform.read(RELAY_BOXES).and_then(|value| serde_json::from_slice(&value).ok()).unwrap_or_default();
    let name = |id: &String| id.strip_prefix("box-").and_then(|place| place.parse().ok());
    stored["named"].as_object().into_iter().flat_map(|relays| relays.keys()).filter_map(name).collect()
}

async fn until_in_force(world: &World, version: u64, boxes: &[usize]) {
    for &i in boxes {
        until("the configuration is in force", || async { world.configuration_version(i).await == Some(version) })
            .await;
    }
}

#[test]
fn few_boxes_watch_the_configuration_and_all_receive_it() {
    smol::block_on(async {
        let mut world = World::start(BOXES, 1).await;
        let all: Vec<usize> = (0..BOXES).collect();
        until("the relay boxes are stored", || async { relays(&world).len() == RELAYS }).await;
        until("only relay boxes watch", || async { world.platform.watches(CONFIGURATION_KEY) <= RELAYS }).await;
        world.platform.configure(2);
        until_in_force(&world, 2, &all).await;
        smol::Timer::after(Duration::from_millis(500)).await;
        assert!(world.platform.watches(CONFIGURATION_KEY) <= RELAYS, "no other box watches the store");

        // Most relay boxes are lost: boxes that wait at them go to the next one, or to the store.
        let lost: Vec<usize> = relays(&world).into_iter().take(RELAYS - 4).collect();
        for &i in &lost {
            world.boxes[i].child.kill().expect("the process can be killed");
        }
        world.platform.configure(3);
        let remaining: Vec<usize> = all.into_iter().filter(|i| !lost.contains(i)).collect();
        until_in_force(&world, 3, &remaining).await;
    });
}
