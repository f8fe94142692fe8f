//! More boxes than watch the configuration in the store: the others learn of it by way of those.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{World, until};
use serde_json::Value;

/// More than are named wherever there are few.
const BOXES: usize = 40;
/// So many of them are named.
const NAMED: usize = 32;
const CONFIGURATION: &str = "op/config";
const RELAY_BOXES: &str = "marten/scheduler/relays";

/// Which boxes are named, by their places among all.
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
fn few_boxes_watch_the_configuration_and_all_have_it() {
    smol::block_on(async {
        let mut world = World::start(BOXES, 1).await;
        let all: Vec<usize> = (0..BOXES).collect();
        until("boxes are named", || async { relays(&world).len() == NAMED }).await;
        until("only those watch", || async { world.platform.watches(CONFIGURATION) <= NAMED }).await;
        world.platform.configure(2);
        until_in_force(&world, 2, &all).await;
        smol::Timer::after(Duration::from_millis(500)).await;
        assert!(world.platform.watches(CONFIGURATION) <= NAMED, "none has gone to the store for it");

        // Most of those that the others wait at are lost: these go to the next, or to the store.
        let lost: Vec<usize> = relays(&world).into_iter().take(NAMED - 4).collect();
        for &i in &lost {
            world.boxes[i].child.kill().expect("it runs");
        }
        world.platform.configure(3);
        let left: Vec<usize> = all.into_iter().filter(|i| !lost.contains(i)).collect();
        until_in_force(&world, 3, &left).await;
    });
}
