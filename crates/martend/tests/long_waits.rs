//! Calls between boxes that ask for a very long wait.

mod common;

use std::time::Duration;

use common::World;
use net::grpc::Channel;
use wire::relay::{CancelRequest, ConfigurationRequest, cancel_reply, relay_client::RelayClient};

/// Time within which a box has to end a wait, whatever its peer asks for; a caller's deadline is a few seconds.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Limit of the call itself, which only a wait without an end exceeds.
const CALL_LIMIT: Duration = Duration::from_secs(50);

/// Guards against calls that hold memory and a connection of a box for as long as their peer likes: a request that is
/// being processed is never closed to make room for others.
#[test]
fn a_box_bounds_the_waits_that_its_peers_ask_for() {
    smol::block_on(async {
        let world = World::start(1, 1).await;
        let addr = world.boxes[0].addrs[2];
        let origin = format!("http://{addr}").parse().expect("an address makes a valid origin");
        let mut client = RelayClient::with_origin(Channel::new(addr, CALL_LIMIT), origin);
        let started = std::time::Instant::now();
        let reply = client.configuration(ConfigurationRequest { above: u64::MAX, wait_ms: u64::MAX }).await;
        assert_eq!(reply.expect("the box answers").into_inner().version, 0);
        assert!(started.elapsed() < LONGEST_WAIT, "{:?}", started.elapsed());

        // Without the store, a box repeats its call to the store until the limit of the request.
        world.platform.set_store_down(true);
        let started = std::time::Instant::now();
        let job = "00000000000000a1".to_owned();
        let reply = client.cancel(CancelRequest { job, customer: String::new(), limit_ms: u64::MAX }).await;
        assert!(reply.is_ok_and(|reply| reply.into_inner().outcome != cancel_reply::Outcome::Cancelled as i32));
        assert!(started.elapsed() < LONGEST_WAIT, "{:?}", started.elapsed());
    });
}
