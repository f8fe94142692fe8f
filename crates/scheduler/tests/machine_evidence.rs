//! Evidence from lists of machines, by values alone. Guards against a backend server that is taken for ended while it
//! still runs its tasks, which would then run twice.

use model::{BackendServerId, Incarnation, Moment};
use scheduler::{
    Machine, MachineId, MachineList,
    departures::{Evidence, Observed, Proof, Verdict},
};

const ELECTED: u64 = 1000;

fn id(name: &str) -> BackendServerId {
    name.parse().expect("it is a valid id")
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Returns a list of machines, each with its backend server.
fn list(rows: &[(&str, Option<&str>)]) -> MachineList {
    let machine = |(machine, server): &(&str, Option<&str>)| Machine {
        id: MachineId::from(*machine),
        up: server.is_some(),
        server: server.map(id),
    };
    MachineList { machines: rows.iter().map(machine).collect(), complete: true, pages: 1 }
}

/// Returns a backend server that first responded at 1.1 s and answers calls sent up to `answered`.
fn responding(name: &str, answered: u64) -> Observed {
    Observed {
        id: id(name),
        incarnation: Some(Incarnation(7)),
        first_response: Some(at(1100)),
        answered_call_sent: Some(at(answered)),
        failing_since: None,
        has_runs: true,
    }
}

/// Returns one whose calls have failed since 5 s.
fn failing(name: &str) -> Observed {
    Observed { failing_since: Some(at(5000)), ..responding(name, 4900) }
}

/// Returns one that has not responded since the election.
fn unheard(name: &str) -> Observed {
    Observed {
        incarnation: None,
        first_response: None,
        answered_call_sent: None,
        failing_since: Some(at(ELECTED)),
        ..responding(name, 0)
    }
}

struct Lists(Evidence);

/// A machine service that has restarted and lost what is registered lists all machines without backend servers. Taken
/// for proof, that list would end each backend server that is cut off at that moment.
#[test]
fn a_list_that_lacks_those_that_respond_ends_none() {
    let mut lists = Lists::seen();
    assert_eq!(lists.apply_failing(&list(&[("m-a", None), ("m-b", None)]), 5150), []);
}

impl Lists {
    /// Returns lists of which one has shown `a` on `m-a` and `b` on `m-b`.
    fn seen() -> Lists {
        let mut lists = Lists(Evidence::default());
        let first = list(&[("m-a", Some("a")), ("m-b", Some("b"))]);
        assert!(lists.apply(&first, 3000, &[responding("a", 2900), responding("b", 2900)]).is_empty());
        lists
    }

    fn apply(&mut self, list: &MachineList, requested: u64, servers: &[Observed]) -> Vec<(BackendServerId, Verdict)> {
        self.0.apply_list(list, at(requested), at(requested + 20), at(ELECTED), servers)
    }

    /// Applies a list while `a` does not respond and `b` does.
    fn apply_failing(&mut self, list: &MachineList, requested: u64) -> Vec<(BackendServerId, Verdict)> {
        self.apply(list, requested, &[failing("a"), responding("b", 4900)])
    }
}

fn ended(machine: Option<&str>, proof: Proof) -> Vec<(BackendServerId, Verdict)> {
    vec![(id("a"), Verdict::Ended { machine: machine.map(MachineId::from), proof })]
}

fn contradicted() -> Vec<(BackendServerId, Verdict)> {
    vec![(id("a"), Verdict::Contradicted { machine: MachineId::from("m-a") })]
}

#[test]
fn a_machine_without_its_backend_server_proves_the_end_at_once() {
    for now_there in [None, Some("c")] {
        let without = list(&[("m-a", now_there), ("m-b", Some("b"))]);
        assert_eq!(Lists::seen().apply_failing(&without, 5150), ended(Some("m-a"), Proof::MachineWithoutIt));
    }
}

#[test]
fn a_missing_machine_proves_the_end_by_the_second_list() {
    let mut lists = Lists::seen();
    let without = list(&[("m-b", Some("b"))]);
    assert!(lists.apply_failing(&without, 5150).is_empty(), "an entry may move between pages");
    assert_eq!(lists.apply_failing(&without, 5450), ended(Some("m-a"), Proof::MachineMissing));
}

#[test]
fn a_backend_server_lost_before_the_election_ends_by_two_lists_without_it() {
    let mut lists = Lists(Evidence::default());
    let without = list(&[("m-b", Some("b"))]);
    let servers = [unheard("a"), responding("b", 1150)];
    for too_early in [1150, 1450, 1750] {
        assert!(lists.apply(&without, too_early, &servers).is_empty(), "it may have started just before the election");
    }
    assert!(lists.apply(&without, 2100, &servers).is_empty());
    assert_eq!(lists.apply(&without, 2400, &servers), ended(None, Proof::NeverListed));
}

#[test]
fn one_that_joins_and_does_not_respond_yet_has_not_ended() {
    let mut lists = Lists(Evidence::default());
    let joining = Observed { has_runs: false, failing_since: Some(at(5000)), ..unheard("a") };
    for requested in [5150, 5450, 5750] {
        let servers = [joining.clone(), responding("b", 4900)];
        assert!(lists.apply(&list(&[("m-b", Some("b"))]), requested, &servers).is_empty());
    }
}

#[test]
fn a_backend_server_that_is_listed_is_cut_off() {
    let mut lists = Lists::seen();
    let full = list(&[("m-a", Some("a")), ("m-b", Some("b"))]);
    for requested in [5150, 5450, 9000] {
        assert!(lists.apply_failing(&full, requested).is_empty());
    }
    let elsewhere = list(&[("m-a", None), ("m-b", Some("b")), ("m-c", Some("a"))]);
    assert!(lists.apply_failing(&elsewhere, 9300).is_empty(), "it is listed on another machine");
    let twice = list(&[("m-c", Some("a")), ("m-b", Some("b")), ("m-c", None)]);
    assert!(lists.apply_failing(&twice, 9600).is_empty(), "pages are not a snapshot");
}

#[test]
fn a_list_requested_before_the_last_response_proves_nothing() {
    let without = list(&[("m-a", None), ("m-b", Some("b"))]);
    for requested in [3001, 4895, 5149] {
        assert!(Lists::seen().apply_failing(&without, requested).is_empty(), "{requested}");
    }
}

#[test]
fn an_incomplete_list_proves_nothing() {
    let mut lists = Lists::seen();
    for rows in [list(&[("m-a", None), ("m-b", Some("b"))]), list(&[("m-b", Some("b"))]), list(&[])] {
        let incomplete = MachineList { complete: false, ..rows };
        for requested in [5150, 5450, 5750] {
            assert!(lists.apply_failing(&incomplete, requested).is_empty());
        }
    }
}

#[test]
fn a_backend_server_that_no_list_has_named_ends_with_its_leases() {
    let mut lists = Lists(Evidence::default());
    let without = list(&[("m-b", Some("b"))]);
    for requested in [5150, 5450, 5750] {
        assert!(lists.apply_failing(&without, requested).is_empty());
    }
}

/// The list may be of another fleet, by a false setting or since the service is partitioned.
#[test]
fn a_list_that_lacks_most_responding_backend_servers_proves_no_absence() {
    let mut lists = Lists::seen();
    let servers = [failing("a"), responding("b", 4900), responding("c", 4900), unheard("d")];
    for other in [list(&[]), list(&[("m-x", Some("x"))]), list(&[("m-x", None)])] {
        for requested in [5150, 5450, 5750] {
            assert!(lists.apply(&other, requested, &servers).is_empty());
        }
    }
}

/// The next incarnation may have started on a machine that the list does not show yet.
#[test]
fn what_was_listed_of_an_earlier_incarnation_proves_nothing_of_the_next() {
    let mut lists = Lists::seen();
    let next = Observed { incarnation: Some(Incarnation(8)), first_response: Some(at(4800)), ..failing("a") };
    let without = list(&[("m-a", None), ("m-b", Some("b"))]);
    for requested in [5150, 5450, 5750] {
        assert!(lists.apply(&without, requested, &[next.clone(), responding("b", 4900)]).is_empty());
    }
}

/// The list shows changes with a delay: it still names the earlier incarnation on its machine.
#[test]
fn a_list_requested_soon_after_the_first_response_shows_no_machine() {
    let mut lists = Lists(Evidence::default());
    let late = Observed { first_response: Some(at(4500)), ..responding("a", 4550) };
    lists.apply(&list(&[("m-a", Some("a")), ("m-b", Some("b"))]), 4600, &[late.clone(), responding("b", 4550)]);
    let without = list(&[("m-a", None), ("m-b", Some("b"))]);
    let lost = Observed { failing_since: Some(at(4700)), ..late };
    for requested in [4900, 5200] {
        assert!(lists.apply(&without, requested, &[lost.clone(), responding("b", 4900)]).is_empty());
    }
}

#[test]
fn a_response_between_two_lists_restarts_the_count() {
    let mut lists = Lists::seen();
    let without = list(&[("m-b", Some("b"))]);
    assert!(lists.apply_failing(&without, 5150).is_empty());
    let again = Observed { failing_since: Some(at(5300)), ..failing("a") };
    assert!(lists.apply(&without, 5500, &[again, responding("b", 4900)]).is_empty());
}

#[test]
fn a_list_that_names_it_between_two_others_restarts_the_count() {
    let mut lists = Lists::seen();
    let (full, without) = (list(&[("m-a", Some("a")), ("m-b", Some("b"))]), list(&[("m-b", Some("b"))]));
    assert!(lists.apply_failing(&without, 5150).is_empty());
    assert_eq!(lists.apply_failing(&full, 5450), contradicted());
    assert!(lists.apply_failing(&without, 5750).is_empty());
}

#[test]
fn lists_that_arrive_out_of_order_prove_nothing() {
    let mut lists = Lists::seen();
    let full = list(&[("m-a", Some("a")), ("m-b", Some("b"))]);
    assert!(lists.apply_failing(&full, 6000).is_empty());
    assert!(lists.apply_failing(&list(&[("m-a", None), ("m-b", Some("b"))]), 5900).is_empty());
}

/// A false list names another backend server on the machine for a moment, while the one that is there responds.
#[test]
fn a_false_list_is_reported_and_proves_nothing_until_it_is_right_again() {
    let mut lists = Lists::seen();
    let full = list(&[("m-a", Some("a")), ("m-b", Some("b"))]);
    let wrong = list(&[("m-a", Some("x")), ("m-b", Some("b"))]);
    assert!(lists.apply(&wrong, 4000, &[responding("a", 3900), responding("b", 3900)]).is_empty());
    assert_eq!(lists.apply(&full, 4300, &[responding("a", 4250), responding("b", 4250)]), contradicted());
    // The next false list stays: the backend server answers a call sent after it, and is then cut off.
    assert!(lists.apply(&wrong, 4600, &[responding("a", 4550), responding("b", 4550)]).is_empty());
    assert_eq!(lists.apply_failing(&wrong, 5150), contradicted());
    for requested in [5450, 5750] {
        assert!(lists.apply_failing(&wrong, requested).is_empty());
    }
}
