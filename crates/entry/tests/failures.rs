//! Failures found by fuzzing, each as a test of its own.

mod common;

use common::{SHAPE, limits, operator_file, planner, spec};
use model::{BoxId, Duration, Outcome};
use test_utils::Cluster;

fn cluster(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(SHAPE, operator_file(), limits(), planner, seed);
    cluster.advance(Duration::from_secs(5));
    cluster
}

fn a_box(name: &str) -> BoxId {
    name.parse().expect("a valid id")
}

/// Ends all faults and checks that every caller receives its outcome and that no guarantee was violated.
fn check_all_get_outcomes(mut cluster: Cluster) -> Cluster {
    cluster.heal();
    for _ in 0..180 {
        if cluster.open_callers().is_empty() {
            break;
        }
        cluster.start_all();
        cluster.advance(Duration::from_secs(10));
    }
    assert_eq!(cluster.violations(), vec![]);
    let open: Vec<String> = cluster.open_callers().into_iter().map(|id| cluster.transcript(id)).collect();
    assert!(open.is_empty(), "callers without an outcome:\n{}\n{}", open.join("\n"), cluster.statuses());
    cluster
}

/// A job that had failed on some backend servers and did not fit without them waited forever.
#[test]
fn a_job_that_cannot_avoid_where_it_failed_ends_as_failed() {
    let mut cluster = cluster(0);
    let caller = cluster.submit(spec(0, 5, 250, 20), false, &a_box("az-1-box-1"));
    let cluster = check_all_get_outcomes(cluster);
    assert!(matches!(cluster.outcome(caller), Some(Outcome::Failed { .. })));
}

/// A retry delay ended without notice to the planner, which did not place the job again.
#[test]
fn a_job_is_placed_again_after_its_backoff() {
    let mut cluster = cluster(1);
    cluster.cut_server(&"s21".parse().expect("a valid id"), true);
    let caller = cluster.submit(spec(0, 7, 0, 20), false, &a_box("az-2-box-1"));
    cluster.advance(Duration::from_secs(8));
    let cluster = check_all_get_outcomes(cluster);
    assert!(matches!(cluster.outcome(caller), Some(Outcome::Done { .. })));
}

/// A planner declared dead became live again and kept granting a job that had ended meanwhile, since the
/// job's box had no offers left to send.
#[test]
fn a_planner_that_recovers_drops_jobs_that_ended() {
    let mut cluster = cluster(4163212868618089775);
    cluster.pause_box(&a_box("az-2-box-1"));
    cluster.submit(spec(0, 0, 0, 7842), false, &a_box("az-2-box-2"));
    cluster.advance(Duration::from_millis(2104));
    cluster.submit(spec(1, 7, 0, 20), false, &a_box("az-2-box-1"));
    check_all_get_outcomes(cluster);
}

/// A box declared another dead and started to fence its tickets but could not finish. The other box was live,
/// and its callers were redirected in circles.
#[test]
fn a_fenced_ticket_whose_box_is_live_is_void() {
    let mut cluster = cluster(7577299314224100807);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.set_network(39, 253);
    cluster.submit(spec(0, 92, 0, 20), true, &a_box(b[3]));
    cluster.set_network(38, 14);
    cluster.cut_box_from_peers(&a_box(b[2]), true);
    cluster.advance(Duration::from_millis(998));
    cluster.submit(spec(1, 164, 24, 20), false, &a_box(b[0]));
    cluster.submit(spec(2, 108, 56, 20), false, &a_box(b[2]));
    cluster.submit(spec(3, 31, 0, 20), true, &a_box(b[3]));
    cluster.cancel(test_utils::CallerId(1));
    cluster.cut_server(&"s21".parse().expect("a valid id"), true);
    cluster.submit(spec(4, 163, 106, 2987), false, &a_box(b[3]));
    cluster.advance(Duration::from_millis(4714));
    cluster.advance(Duration::from_millis(8388));
    check_all_get_outcomes(cluster);
}

/// A durable job was cancelled while the store was down; its box was killed, and another box ran the job.
#[test]
fn a_cancelled_durable_job_is_not_run_by_another_box() {
    let mut cluster = cluster(7918838987084532336);
    let first = a_box("az-1-box-1");
    let caller = cluster.submit(spec(1, 0, 56, 20), true, &first);
    cluster.submit(spec(2, 55, 86, 14563), false, &first);
    cluster.advance(Duration::from_millis(11103));
    cluster.set_store_down(true);
    cluster.cancel(caller);
    cluster.advance(Duration::from_millis(7564));
    cluster.kill_box(&first);
    check_all_get_outcomes(cluster);
}

/// A box resumed from a pause asked the new incarnation of a dead box whether a ticket of the earlier one was
/// void, took "not known" for yes, and ran a dispensing batch a second time.
#[test]
fn only_the_incarnation_that_minted_a_ticket_can_report_it_void() {
    let mut cluster = cluster(13889302518410029494);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.kill_box(&a_box(b[0]));
    cluster.cut_box_from_servers(&a_box(b[1]), true);
    let s = cluster.server_ids()[3].clone();
    cluster.drain_server(&s, true);
    cluster.advance(Duration::from_millis(6897));
    cluster.submit(spec(1, 109, 84, 18098), false, &a_box(b[3]));
    cluster.pause_box(&a_box(b[2]));
    cluster.submit(spec(2, 0, 62, 528), false, &a_box(b[2]));
    cluster.advance(Duration::from_millis(13731));
    cluster.kill_box(&a_box(b[3]));
    cluster.advance(Duration::from_millis(6062));
    cluster.set_store_down(true);
    cluster.advance(Duration::from_millis(8558));
    cluster.start_box(&a_box(b[3]));
    cluster.start_box(&a_box(b[0]));
    cluster.cut_box_from_peers(&a_box(b[3]), true);
    cluster.advance(Duration::from_millis(14139));
    cluster.advance(Duration::from_millis(8972));
    cluster.advance(Duration::from_millis(353));
    cluster.submit(spec(3, 139, 85, 16885), true, &a_box(b[2]));
    cluster.advance(Duration::from_millis(1226));
    cluster.advance(Duration::from_millis(8014));
    cluster.advance(Duration::from_millis(12887));
    cluster.advance(Duration::from_millis(10005));
    check_all_get_outcomes(cluster);
}

/// A box handed a job to another, which was killed before it could finish the job.
#[test]
fn a_job_whose_new_holder_died_gets_an_outcome() {
    let mut cluster = cluster(9253838553343280705);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.advance(Duration::from_millis(12500));
    cluster.submit(spec(1, 0, 0, 20031), false, &a_box(b[1]));
    cluster.submit(spec(2, 184, 0, 18838), false, &a_box(b[1]));
    cluster.advance(Duration::from_millis(13784));
    cluster.submit(spec(3, 71, 217, 8156), true, &a_box(b[0]));
    cluster.submit(spec(4, 64, 49, 14231), true, &a_box(b[2]));
    let s = cluster.server_ids()[1].clone();
    cluster.restart_server(&s);
    cluster.advance(Duration::from_millis(13324));
    cluster.set_network(2, 237);
    cluster.pause_box(&a_box(b[0]));
    cluster.advance(Duration::from_millis(4905));
    cluster.submit(spec(5, 57, 244, 22260), true, &a_box(b[0]));
    cluster.advance(Duration::from_millis(7999));
    cluster.advance(Duration::from_millis(11518));
    cluster.pause_box(&a_box(b[2]));
    cluster.advance(Duration::from_millis(8002));
    cluster.kill_box(&a_box(b[3]));
    cluster.advance(Duration::from_millis(6057));
    check_all_get_outcomes(cluster);
}

/// An adopted job was started again with the contents of its lease alone: without its payload and as if it
/// might run only once.
#[test]
fn an_adopted_job_is_not_retried_from_its_lease_alone() {
    let mut cluster = cluster(16637412281189795036);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.kill_box(&a_box(b[1]));
    cluster.cut_box_from_platform(&a_box(b[1]), true);
    cluster.submit(spec(1, 117, 106, 22660), false, &a_box(b[2]));
    cluster.lose_store_answers(3);
    let s = cluster.server_ids()[1].clone();
    cluster.restart_server(&s);
    cluster.advance(Duration::from_millis(11395));
    cluster.set_network(159, 291);
    cluster.advance(Duration::from_millis(6585));
    cluster.advance(Duration::from_millis(12775));
    if cluster.caller_count() > 0 {
        cluster.cancel(test_utils::CallerId(4 % cluster.caller_count()));
    }
    cluster.submit(spec(2, 112, 242, 27685), false, &a_box(b[1]));
    cluster.submit(spec(3, 43, 88, 2094), false, &a_box(b[0]));
    cluster.submit(spec(4, 28, 34, 21913), false, &a_box(b[3]));
    cluster.advance(Duration::from_millis(6025));
    cluster.pause_box(&a_box(b[0]));
    cluster.pause_box(&a_box(b[2]));
    cluster.advance(Duration::from_millis(8131));
    check_all_get_outcomes(cluster);
}

/// A backend server lost its record of a fenced ticket in a restart; the ticket's box then resumed and ran
/// the request a second time.
#[test]
fn a_young_lease_table_refuses_older_tickets() {
    let mut cluster = cluster(2029638575838532061);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.submit(spec(1, 0, 200, 16571), false, &a_box(b[3]));
    cluster.submit(spec(2, 122, 144, 18709), false, &a_box(b[1]));
    cluster.set_network(184, 52);
    cluster.advance(Duration::from_millis(463));
    cluster.pause_box(&a_box(b[3]));
    cluster.advance(Duration::from_millis(12755));
    cluster.submit(spec(3, 97, 38, 9959), false, &a_box(b[0]));
    cluster.submit(spec(4, 209, 234, 491), false, &a_box(b[0]));
    cluster.advance(Duration::from_millis(11136));
    let s = cluster.server_ids()[3].clone();
    cluster.restart_server(&s);
    cluster.advance(Duration::from_millis(13202));
    check_all_get_outcomes(cluster);
}

/// An adoption that ended in another ticket was looked up under the old one, and the box stopped.
#[test]
fn an_adoption_may_end_in_another_ticket() {
    let mut cluster = cluster(7630067980882485598);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.submit(spec(1, 244, 48, 11807), false, &a_box(b[0]));
    cluster.submit(spec(2, 72, 108, 6297), false, &a_box(b[1]));
    cluster.cut_box_from_peers(&a_box(b[0]), true);
    cluster.submit(spec(3, 246, 0, 1129), false, &a_box(b[2]));
    let s = cluster.server_ids()[3].clone();
    cluster.restart_server(&s);
    cluster.submit(spec(4, 48, 0, 15470), true, &a_box(b[1]));
    cluster.set_network(190, 240);
    cluster.submit(spec(5, 153, 19, 23708), false, &a_box(b[0]));
    cluster.resume_box(&a_box(b[1]));
    cluster.submit(spec(6, 45, 80, 14215), true, &a_box(b[3]));
    cluster.advance(Duration::from_millis(6458));
    cluster.advance(Duration::from_millis(13926));
    cluster.submit(spec(7, 150, 124, 8641), false, &a_box(b[3]));
    cluster.advance(Duration::from_millis(14221));
    check_all_get_outcomes(cluster);
}

/// An old offer overtook a newer one, so the planner kept granting jobs that had ended and had no capacity
/// left for waiting ones.
#[test]
fn an_overtaken_offer_is_dropped() {
    let mut cluster = cluster(15131582428878866453);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.set_network(125, 228);
    cluster.submit(spec(1, 216, 78, 28820), true, &a_box(b[0]));
    cluster.submit(spec(2, 40, 134, 1428), false, &a_box(b[3]));
    cluster.submit(spec(3, 71, 197, 1873), true, &a_box(b[1]));
    cluster.submit(spec(4, 115, 162, 5016), false, &a_box(b[2]));
    cluster.advance(Duration::from_millis(14803));
    cluster.submit(spec(5, 165, 89, 15590), true, &a_box(b[3]));
    cluster.set_store_down(true);
    cluster.advance(Duration::from_millis(11547));
    cluster.set_network(122, 11);
    cluster.submit(spec(6, 141, 216, 27696), false, &a_box(b[1]));
    cluster.advance(Duration::from_millis(10913));
    cluster.advance(Duration::from_millis(12899));
    cluster.submit(spec(7, 101, 41, 23555), false, &a_box(b[3]));
    cluster.advance(Duration::from_millis(1092));
    cluster.set_network(92, 293);
    let s = cluster.server_ids()[4].clone();
    cluster.restart_server(&s);
    cluster.advance(Duration::from_millis(1777));
    cluster.submit(spec(8, 155, 87, 21928), false, &a_box(b[3]));
    cluster.pause_box(&a_box(b[3]));
    cluster.advance(Duration::from_millis(3241));
    cluster.advance(Duration::from_millis(9583));
    cluster.submit(spec(9, 210, 96, 21830), true, &a_box(b[1]));
    cluster.pause_box(&a_box(b[1]));
    cluster.advance(Duration::from_millis(11520));
    cluster.resume_box(&a_box(b[1]));
    check_all_get_outcomes(cluster);
}

/// A claim took effect, its reply was lost, and its box abandoned the ticket; the caller's cancellation was
/// redirected in circles.
#[test]
fn a_claim_that_was_abandoned_can_be_cancelled() {
    let mut cluster = cluster(9662536676347374336);
    let first = a_box("az-1-box-2");
    let caller = cluster.submit(spec(1, 0, 0, 20), false, &first);
    cluster.lose_store_answers(1);
    cluster.cancel(caller);
    cluster.advance(Duration::from_millis(10));
    cluster.cut_box_from_platform(&first, true);
    cluster.advance(Duration::from_millis(9996));
    check_all_get_outcomes(cluster);
}

/// One box made two claims for the same request. The second found the first's ticket in the store and took it
/// for abandoned while its reply was in flight, and the request ran twice.
#[test]
fn a_claim_in_flight_is_not_taken_for_abandoned() {
    let mut cluster = cluster(15059078604556363222);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.advance(Duration::from_millis(1724));
    cluster.submit(spec(1, 128, 0, 17201), false, &a_box(b[3]));
    cluster.submit(spec(2, 101, 84, 6417), false, &a_box(b[0]));
    cluster.advance(Duration::from_millis(779));
    cluster.cut_box_from_servers(&a_box(b[2]), true);
    cluster.submit(spec(3, 104, 4, 23158), false, &a_box(b[1]));
    cluster.advance(Duration::from_millis(3345));
    cluster.cut_box_from_peers(&a_box(b[0]), true);
    cluster.submit(spec(4, 111, 236, 3991), true, &a_box(b[1]));
    cluster.submit(spec(5, 253, 26, 9523), true, &a_box(b[1]));
    cluster.submit(spec(6, 85, 184, 59), true, &a_box(b[2]));
    cluster.set_network(164, 314);
    cluster.submit(spec(7, 229, 55, 10846), true, &a_box(b[1]));
    cluster.advance(Duration::from_millis(11153));
    cluster.kill_box(&a_box(b[1]));
    cluster.submit(spec(8, 180, 156, 596), true, &a_box(b[2]));
    cluster.advance(Duration::from_millis(13124));
    check_all_get_outcomes(cluster);
}

/// A box adopted the gang of an old ticket of a request that it had finished under a newer one, and no longer
/// found the answer.
#[test]
fn an_old_ticket_does_not_hide_the_answer_of_a_newer_one() {
    let mut cluster = cluster(152692497636566649);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.advance(Duration::from_millis(7924));
    cluster.submit(spec(1, 8, 2, 6858), false, &a_box(b[0]));
    cluster.submit(spec(2, 232, 250, 159), true, &a_box(b[3]));
    cluster.submit(spec(3, 144, 58, 6265), true, &a_box(b[0]));
    cluster.submit(spec(4, 23, 55, 28142), true, &a_box(b[2]));
    cluster.set_network(127, 51);
    cluster.advance(Duration::from_millis(9470));
    cluster.submit(spec(5, 100, 22, 21764), false, &a_box(b[3]));
    let s = cluster.server_ids()[0].clone();
    cluster.fail_server(&s, true);
    cluster.submit(spec(6, 172, 3, 8749), true, &a_box(b[0]));
    let s = cluster.server_ids()[1].clone();
    cluster.drain_server(&s, true);
    cluster.drain_box(&a_box(b[0]));
    check_all_get_outcomes(cluster);
}

/// Two boxes drained at once. Each planned with outdated offers of the other, and these jobs kept the
/// capacity that the last waiting job needed.
#[test]
fn offers_that_are_no_longer_sent_do_not_count() {
    let mut cluster = cluster(5424817390085647602);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.submit(spec(1, 74, 0, 15063), false, &a_box(b[2]));
    cluster.submit(spec(2, 174, 58, 8790), false, &a_box(b[3]));
    cluster.submit(spec(3, 22, 0, 7860), true, &a_box(b[1]));
    cluster.submit(spec(4, 214, 77, 12870), true, &a_box(b[1]));
    cluster.set_network(103, 246);
    cluster.cut_box_from_platform(&a_box(b[1]), true);
    cluster.advance(Duration::from_millis(12008));
    let s = cluster.server_ids()[3].clone();
    cluster.drain_server(&s, true);
    cluster.submit(spec(5, 118, 59, 3224), false, &a_box(b[3]));
    cluster.lose_store_answers(3);
    cluster.pause_box(&a_box(b[1]));
    cluster.advance(Duration::from_millis(12126));
    let s = cluster.server_ids()[4].clone();
    cluster.restart_server(&s);
    cluster.advance(Duration::from_millis(4657));
    cluster.drain_box(&a_box(b[3]));
    let s = cluster.server_ids()[3].clone();
    cluster.drain_server(&s, true);
    cluster.submit(spec(6, 242, 98, 15288), false, &a_box(b[0]));
    cluster.drain_box(&a_box(b[2]));
    cluster.advance(Duration::from_millis(1712));
    check_all_get_outcomes(cluster);
}

/// A preempted job was handed over and its new box was killed before the job resumed. It was started from the
/// beginning, since its claim did not record that it had run.
#[test]
fn a_claim_records_that_its_request_has_run() {
    let mut cluster = cluster(963152525737585236);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.submit(spec(1, 247, 172, 11547), false, &a_box(b[1]));
    cluster.advance(Duration::from_millis(11));
    cluster.submit(spec(2, 216, 2, 12861), true, &a_box(b[0]));
    cluster.drain_box(&a_box(b[1]));
    cluster.advance(Duration::from_millis(242));
    cluster.kill_box(&a_box(b[0]));
    check_all_get_outcomes(cluster);
}

/// A preempted job that was handed over could not get a ticket that a restarted backend server accepts.
#[test]
fn a_job_that_resumes_from_a_checkpoint_gets_a_new_ticket() {
    let mut cluster = cluster(6202180286628862445);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.submit(spec(1, 23, 180, 5300), false, &a_box(b[3]));
    cluster.advance(Duration::from_millis(10));
    cluster.drain_box(&a_box(b[3]));
    cluster.kill_box(&a_box(b[1]));
    cluster.kill_box(&a_box(b[0]));
    cluster.submit(spec(2, 112, 34, 3079), false, &a_box(b[3]));
    let s = cluster.server_ids()[0].clone();
    cluster.drain_server(&s, false);
    cluster.advance(Duration::from_millis(4226));
    let s = cluster.server_ids()[4].clone();
    cluster.restart_server(&s);
    check_all_get_outcomes(cluster);
}

/// While a preempted job was being handed over, another box asked about its claim, received the reply that it
/// was unknown, and started the job from the beginning.
#[test]
fn a_job_being_handed_over_is_not_started_from_the_beginning() {
    let mut cluster = cluster(8035879228453120847);
    let b = ["az-1-box-1", "az-1-box-2", "az-2-box-1", "az-2-box-2"];
    cluster.submit(spec(1, 247, 124, 12435), false, &a_box(b[0]));
    cluster.advance(Duration::from_millis(10873));
    cluster.submit(spec(2, 7, 156, 14354), false, &a_box(b[3]));
    cluster.submit(spec(3, 8, 2, 12130), true, &a_box(b[0]));
    cluster.advance(Duration::from_millis(10652));
    cluster.pause_box(&a_box(b[1]));
    cluster.drain_box(&a_box(b[0]));
    cluster.advance(Duration::from_millis(1977));
    check_all_get_outcomes(cluster);
}
