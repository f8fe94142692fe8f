//! `marten evacuate`, against boxes that answer as told.

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
    http::{Call, Handler, json_response, serve},
};
use serde_json::{Value, json};
use smol::net::TcpListener;

type Answer = (StatusCode, Value);

/// Gives its answers one after another, the last one again and again, and notes what it was asked.
#[derive(Default)]
struct Operators {
    answers: Mutex<Vec<Answer>>,
    asked: Mutex<Vec<String>>,
}

struct Page(Arc<Operators>);

impl Handler for Page {
    fn handle(&self, call: Call) -> BoxFuture<'_, Option<Response<Full<Bytes>>>> {
        Box::pin(async move {
            self.0.asked.lock().expect("no holder panics").push(format!("{} {}", call.method, call.path));
            let mut answers = self.0.answers.lock().expect("no holder panics");
            let (status, body) = if answers.len() > 1 { answers.remove(0) } else { answers[0].clone() };
            Some(json_response(status, &body))
        })
    }
}

/// A box's operators' address, where these answers are given.
async fn a_box(answers: Vec<Answer>) -> (SocketAddr, Arc<Operators>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be used");
    let addr = listener.local_addr().expect("it is bound");
    let operators = Arc::new(Operators { answers: Mutex::new(answers), ..Operators::default() });
    smol::spawn(serve(listener, Arc::new(Page(Arc::clone(&operators))))).detach();
    (addr, operators)
}

fn running(tasks: u64) -> Answer {
    let evacuation = json!({
        "availability_zone": "az-1", "by": ["platform", "operators"], "known_ms": 100, "running_tasks": tasks,
        "longest_left_ms": 6200, "guaranteed": 16, "accelerators_elsewhere": 8,
    });
    (StatusCode::OK, json!({ "evacuations": [evacuation] }))
}

fn elsewhere() -> Answer {
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
fn it_finds_the_box_that_schedules_and_says_what_it_means() {
    smol::block_on(async {
        let (other, _) = a_box(vec![elsewhere()]).await;
        let (scheduler, operators) = a_box(vec![running(41)]).await;
        let output = marten(&["az-1"], &[other, scheduler]).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert_eq!(*operators.asked.lock().expect("no holder panics"), ["PUT /v1/evacuations/az-1"]);
        let told = "az-1 is evacuated (asked for by platform and operators); 41 tasks run there, the last ends in 6.2 s\n\
                    GUARANTEES cannot all be kept meanwhile: 8 accelerators are missing\n";
        assert_eq!(stdout(&output), told);
    });
}

#[test]
fn it_follows_until_nothing_runs_there() {
    smol::block_on(async {
        let (scheduler, operators) = a_box(vec![running(2), running(1), running(0)]).await;
        let output = marten(&["az-1", "--follow"], &[scheduler]).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        assert!(stdout(&output).contains("; 0 tasks run there"), "{output:?}");
        let asked = operators.asked.lock().expect("no holder panics").clone();
        let method = |line: &String| line.split(' ').next().map(str::to_owned);
        let put = Method::PUT.to_string();
        assert_eq!(asked.iter().filter(|line| method(line) == Some(put.clone())).count(), 1, "{asked:?}");
    });
}

#[test]
fn it_gives_up_following_with_a_code_of_its_own() {
    smol::block_on(async {
        let (scheduler, _) = a_box(vec![running(1)]).await;
        let output = marten(&["az-1", "--follow", "--timeout", "1"], &[scheduler]).await;
        assert_eq!(output.status.code(), Some(7), "{output:?}");
    });
}

#[test]
fn it_takes_back() {
    smol::block_on(async {
        let (scheduler, operators) = a_box(vec![(StatusCode::OK, json!({ "evacuations": [] }))]).await;
        let output = marten(&["az-1", "--take-back"], &[scheduler]).await;
        assert_eq!(stdout(&output), "az-1 takes work\n", "{output:?}");
        assert_eq!(*operators.asked.lock().expect("no holder panics"), ["DELETE /v1/evacuations/az-1"]);
    });
}

#[test]
fn it_says_why_it_is_refused() {
    smol::block_on(async {
        let error = "without az-1 8 accelerators are left, and customers are guaranteed 16: 8 too few";
        let (scheduler, _) = a_box(vec![(StatusCode::CONFLICT, json!({ "error": error }))]).await;
        let output = marten(&["az-1"], &[scheduler]).await;
        assert_eq!(output.status.code(), Some(3), "{output:?}");
        assert!(String::from_utf8_lossy(&output.stderr).contains(error), "{output:?}");
    });
}

#[test]
fn no_box_that_schedules_and_no_valid_zone_have_codes_of_their_own() {
    smol::block_on(async {
        let (other, _) = a_box(vec![elsewhere()]).await;
        let output = marten(&["az-1"], &[other]).await;
        assert_eq!(output.status.code(), Some(5), "{output:?}");
        let output = marten(&["az 1"], &[other]).await;
        assert_eq!(output.status.code(), Some(2), "{output:?}");
    });
}
