//! Access of requests: decided by the host, the longest matching prefix and the key.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use model::{CustomerId, Duration};
use runtime::{CallLimits, Configuration, Denied, Route};
use scheduler::Policy;

fn route(host: &str, prefix: &str, queue: &str, open: bool) -> Route {
    Route { host: host.to_owned(), prefix: prefix.to_owned(), queue: queue.into(), open }
}

fn configuration() -> Configuration {
    let court: CustomerId = "court".parse().expect("it is a valid id");
    Configuration {
        version: 3,
        document: Arc::from(&b""[..]),
        services: BTreeSet::new(),
        routes: vec![
            route("jobs.example", "/desk/", "desk", false),
            route("jobs.example", "/desk/urgent/", "urgent", false),
            route("open.example", "/", "open", true),
        ],
        keys: BTreeMap::from([("k1".to_owned(), court)]),
        policy: Policy::default(),
        limits: CallLimits {
            max_head: 1000,
            max_body: 1000,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

#[test]
fn longest_prefix_of_the_host_decides() {
    let configuration = configuration();
    let queue = |path: &str| configuration.access("jobs.example:8080", path, Some("k1")).map(|a| a.queue.to_string());
    assert_eq!(queue("/desk/1"), Ok("desk".to_owned()));
    assert_eq!(queue("/desk/urgent/1"), Ok("urgent".to_owned()));
    assert_eq!(queue("/elsewhere/1"), Err(Denied::NoQueue));
    assert_eq!(configuration.access("other.example", "/desk/1", Some("k1")), Err(Denied::NoQueue));
}

#[test]
fn unknown_key_is_denied_unless_the_queue_is_open() {
    let configuration = configuration();
    assert_eq!(configuration.access("jobs.example", "/desk/1", None), Err(Denied::UnknownKey));
    assert_eq!(configuration.access("jobs.example", "/desk/1", Some("k2")), Err(Denied::UnknownKey));
    let open = configuration.access("open.example", "/1", None).expect("it is open");
    assert_eq!((open.customer, open.rest.as_str()), (None, "1"));
}
