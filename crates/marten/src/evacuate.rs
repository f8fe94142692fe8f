//! Evacuates an availability zone, ends an evacuation, and shows the progress of one.
//!
//! Only the scheduling box, which is the one box elected to schedule, answers these calls.

use std::time::Duration;

use hyper::{Method, StatusCode};
use model::AvailabilityZoneId;
use serde::Deserialize;
use serde_json::Value;

use crate::{
    client::{Boxes, refused},
    exit::Failure,
    options::{Format, Options},
};

/// Interval between polls. It is one second because [`evacuate`] makes `timeout_s` of them.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Progress of an evacuation, as reported by the scheduling box.
#[derive(Debug, Deserialize)]
struct Evacuation {
    availability_zone: AvailabilityZoneId,
    by: Vec<String>,
    running_tasks: u64,
    longest_left_ms: u64,
    guaranteed: u64,
    accelerators_elsewhere: u64,
}

#[derive(Debug, Deserialize)]
struct Evacuations {
    evacuations: Vec<Evacuation>,
}

/// Starts an evacuation or, with `end`, ends it. With `follow`, waits after a start until no task runs in the zone or
/// the evacuation has been ended.
///
/// Returns [`Failure::Pending`] if something still runs there after the timeout.
pub(crate) async fn evacuate(opts: &Options, zone: &str, end: bool, follow: bool) -> Result<(), Failure> {
    let zone: AvailabilityZoneId = zone.parse().map_err(|e| Failure::Usage { why: format!("{e}") })?;
    let boxes = Boxes::new(&opts.boxes)?;
    let method = if end { Method::DELETE } else { Method::PUT };
    let path = format!("/v1/evacuations/{zone}");
    let reply = call(&boxes, method, &path).await?;
    show(opts.format, &zone, &reply, find_evacuation(&reply, &zone)?);
    if !follow || end {
        return Ok(());
    }
    for _ in 0..opts.timeout_s {
        let reply = call(&boxes, Method::GET, "/v1/evacuations").await?;
        let evacuation = find_evacuation(&reply, &zone)?;
        let is_over = evacuation.as_ref().is_none_or(|evacuation| evacuation.running_tasks == 0);
        show(opts.format, &zone, &reply, evacuation);
        if is_over {
            return Ok(());
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
    Err(Failure::Pending { why: format!("something still runs in {zone} after {} s", opts.timeout_s) })
}

/// Calls the scheduling box and parses its response.
async fn call(boxes: &Boxes, method: Method, path: &str) -> Result<Value, Failure> {
    let reply = boxes.call_scheduler(method, path).await?;
    match reply.status {
        StatusCode::OK => reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() }),
        StatusCode::GATEWAY_TIMEOUT | StatusCode::MISDIRECTED_REQUEST => {
            Err(Failure::Unavailable { why: String::from_utf8_lossy(&reply.body).trim().to_owned() })
        }
        _ => Err(refused(&reply)),
    }
}

/// Returns the evacuation of `zone`; `None` if the zone is not evacuated.
///
/// Returns [`Failure::Unavailable`] if the response is malformed.
fn find_evacuation(reply: &Value, zone: &AvailabilityZoneId) -> Result<Option<Evacuation>, Failure> {
    let malformed = |e| Failure::Unavailable { why: format!("malformed response: {e}") };
    let all: Evacuations = serde_json::from_value(reply.clone()).map_err(malformed)?;
    Ok(all.evacuations.into_iter().find(|evacuation| evacuation.availability_zone == *zone))
}

fn show(format: Format, zone: &AvailabilityZoneId, reply: &Value, evacuation: Option<Evacuation>) {
    if format == Format::Json {
        print_line!("{reply}");
        return;
    }
    let Some(evacuation) = evacuation else {
        print_line!("{zone} takes work");
        return;
    };
    print_line!(
        "{zone} is evacuated (asked for by {}); {} tasks run there, the last ends in {:.1} s",
        evacuation.by.join(" and "),
        evacuation.running_tasks,
        evacuation.longest_left_ms as f64 / 1000.0
    );
    let missing = evacuation.guaranteed.saturating_sub(evacuation.accelerators_elsewhere);
    if missing > 0 {
        print_line!("GUARANTEES cannot all be kept meanwhile: {missing} accelerators are missing");
    }
}
