//! Whole requests of legal size that take much memory to decode.

use crate::{
    box_under_test::withstands,
    crowd::{LARGE_PIECE, TcpCrowd, members},
    payload::{MAX_BODY, Payload, head, submission},
};

/// Number of connections.
const MEMBERS: usize = 200;
/// Begin of the body.
const BEGIN: &str = r#"{"spec":"x","steps":["#;
/// End of the body.
const END: &str = "{}]}";

/// Returns a request of the maximum length whose job has as many steps as fit.
fn with_many_steps(i: usize) -> Payload {
    let steps = (MAX_BODY - BEGIN.len() - END.len()) / "{},".len();
    let body = [BEGIN, &"{},".repeat(steps), END].concat();
    let body = body.replace(END, &format!("{}{END}", " ".repeat(MAX_BODY - body.len())));
    assert_eq!(body.len(), MAX_BODY);
    let head = head(&submission(i), &format!("content-length: {MAX_BODY}"));
    Payload::new(head, body, MAX_BODY)
}

/// Guards against whole bodies that wait for their decoding without a bound on their sum, and against decoded values
/// that take many times the length of their text.
#[test]
fn whole_requests_that_are_costly_to_decode() {
    withstands(|addrs| TcpCrowd::start(members(addrs[0], MEMBERS, with_many_steps), LARGE_PIECE));
}
