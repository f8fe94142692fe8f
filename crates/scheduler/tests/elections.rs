//! Elections that follow one another while a backend server is out of reach.
//!
//! Seen on a hunted day: a task's backend server was lost for good as its scheduler lost its office. The next scheduler was deposed after 9 s without having reached
//! the backend server, and the one after it waited anew for every lease that an earlier one can have given: the task ran again 31 s after it was lost. A
//! scheduler that never reached a backend server gave it no lease, but nothing tells the next one so.

mod common;

use common::{Fixture, job_in, step};
use model::Duration;

/// Leases of the scheduler that was deposed first are over by then, counted from the first election: 8 s in which it may renew without knowing, a lease
/// of 6 s on the slowest clock, and some slack.
const OVER: Duration = Duration::from_secs(16);

#[test]
fn a_lost_backend_server_is_waited_for_once_however_many_elections_follow() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job_in("urgent", 1, vec![step(1, 8)]));
    let lost = fixture.start_all().remove(0).server;
    fixture.vanish(&lost);
    fixture.elect_anew();
    let first = fixture.now;
    for elections in 0..2 {
        while fixture.now.since(first) < OVER && (elections > 0 || fixture.now.since(first) < Duration::from_secs(9)) {
            fixture.advance(100);
            if !fixture.start_all().is_empty() {
                return;
            }
        }
        fixture.elect_anew();
    }
    panic!("it does not run again within {OVER} of the first election");
}
