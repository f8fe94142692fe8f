//! `marten evacuate` against boxes with scripted responses.

use std::{
    net::SocketAddr,
    process::{Command, Output},
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};
use net::{
    BoxFuture,
    http::{Call, Handler, json_response, serve_trusted},
};
use serde_json::{Value, json};
use smol::net::TcpListener;

type Answer = (StatusCode, Value);

/// State of a box's operators' API: scripted responses, of which the last repeats, and the recorded requests.
#[derive(Default)]
struct Operators {
    answers: Mutex<Vec<Answer>>,
    requests: Mutex<Vec<String>>,
}

struct OperatorsHandler(Arc<Operators>);

impl Handler for OperatorsHandler {
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>> {
        Box::pin(async move {
            self.0.requests.lock().expect("no holder panics").push(format!("{} {}", call.method, call.path));
            let mut answers = self.0.answers.lock().expect("no holder panics");
            let (status, body) = if answers.len() > 1 { answers.remove(0) } else { answers[0].clone() };
            Some(json_response(status, &body))
        })
    }
}

/// Starts a box's operators' API with these responses, and returns its address.
async fn start_box(answers: Vec<Answer>) -> (SocketAddr, Arc<Operators>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback is available");
    let addr = listener.local_addr().expect("the listener is bound");
    let operators = Arc::new(Operators { answers: Mutex::new(answers), ..Operators::default() });
    smol::spawn(serve_trusted(listener, Arc::new(OperatorsHandler(Arc::clone(&operators))))).detach();
    (addr, operators)
}

fn running(tasks: u64) -> Answer {
    let evacuation = json!({
        "availability_zone": "az-1", "by": ["platform", "operators"], "known_ms": 100, "running_tasks": tasks,
        "longest_left_ms": 6200, "guaranteed": 16, "accelerators_elsewhere": 8,
    });
    (StatusCode::OK, json!({ "evacuations": [evacuation] }))
}

fn redirect() -> Answer {
    let error = "this box does not schedule: ask box-2";
    (StatusCode::MISDIRECTED_REQUEST, json!({ "error": error, "scheduler": "box-2" }))
}

async fn marten(args: &[&str], boxes: &[SocketAddr]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marten"));
    command.arg("evacuate").args(args);
    for addr in boxes {
        command.args(["--box", &addr.to_string()]);
    }
    smol::unblock(move || command.output().expect("marten can be run")).await
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn evacuates_at_the_scheduling_box_and_shows_the_effect() {
    smol::block_on(async {
        let (other, _) = start_box(vec![redirect()]).await;
        let (scheduler, operators) = start_box(vec![running(41)]).await;
        let output = marten(&["az-1"], &[other, scheduler]).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert_eq!(*operators.requests.lock().expect("no holder panics"), ["PUT /v1/evacuations/az-1"]);
        let expected = "az-1 is evacuated (asked for by platform and operators); 41 tasks run there, the last ends in 6.2 s\n\
                    GUARANTEES cannot all be kept meanwhile: 8 accelerators are missing\n";
        assert_eq!(stdout(&output), expected);
    });
}

#[test]
fn it_follows_until_nothing_runs_there() {
    smol::block_on(async {
        let (scheduler, operators) = start_box(vec![running(2), running(1), running(0)]).await;
        let output = marten(&["az-1", "--follow"], &[scheduler]).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert!(stdout(&output).contains("; 0 tasks run there"), "{output:?}");
        let requests = operators.requests.lock().expect("no holder panics").clone();
        let method = |line: &String| line.split(' ').next().map(str::to_owned);
        let put = Method::PUT.to_string();
        assert_eq!(requests.iter().filter(|line| method(line) == Some(put.clone())).count(), 1, "{requests:?}");
    });
}

/// Guards against an evacuation reported as over because the response of a box could not be understood.
#[test]
fn a_malformed_response_is_no_end_of_an_evacuation() {
    smol::block_on(async {
        for malformed in [json!({}), json!({ "evacuations": [{ "availability_zone": "az-1" }] }), json!([])] {
            let (scheduler, _) = start_box(vec![running(2), (StatusCode::OK, malformed.clone())]).await;
            let output = marten(&["az-1", "--follow", "--timeout", "3"], &[scheduler]).await;
            assert_eq!(output.status.code(), Some(5), "{malformed}: {output:?}");
            assert!(!stdout(&output).contains("takes work"), "{malformed}: {output:?}");
        }
    });
}

#[test]
fn following_that_times_out_has_its_own_exit_code() {
    smol::block_on(async {
        let (scheduler, _) = start_box(vec![running(1)]).await;
        let output = marten(&["az-1", "--follow", "--timeout", "1"], &[scheduler]).await;
        assert_eq!(output.status.code(), Some(7), "{output:?}");
    });
}

#[test]
fn ends_an_evacuation() {
    smol::block_on(async {
        let (scheduler, operators) = start_box(vec![(StatusCode::OK, json!({ "evacuations": [] }))]).await;
        let output = marten(&["az-1", "--take-back"], &[scheduler]).await;
        assert_eq!(stdout(&output), "az-1 takes work\n", "{output:?}");
        assert_eq!(*operators.requests.lock().expect("no holder panics"), ["DELETE /v1/evacuations/az-1"]);
    });
}

#[test]
fn shows_the_reason_of_a_refusal() {
    smol::block_on(async {
        let error = "without az-1 8 accelerators are left, and customers are guaranteed 16: 8 too few";
        let (scheduler, _) = start_box(vec![(StatusCode::CONFLICT, json!({ "error": error }))]).await;
        let output = marten(&["az-1"], &[scheduler]).await;
        assert_eq!(output.status.code(), Some(3), "{output:?}");
        assert!(String::from_utf8_lossy(&output.stderr).contains(error), "{output:?}");
    });
}

#[test]
fn a_missing_scheduler_and_an_invalid_zone_have_their_own_exit_codes() {
    smol::block_on(async {
        let (other, _) = start_box(vec![redirect()]).await;
        let output = marten(&["az-1"], &[other]).await;
        assert_eq!(output.status.code(), Some(5), "{output:?}");
        let output = marten(&["az 1"], &[other]).await;
        assert_eq!(output.status.code(), Some(2), "{output:?}");
    });
}
