//! Evacuates an availability zone, takes it back, and follows how it empties.

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

/// How often progress is shown.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// How far an evacuation has come, as the scheduling box tells it.
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

/// Puts an evacuation in force, or takes it back; if asked to, waits until nothing runs there any more.
pub(crate) async fn evacuate(opts: &Options, zone: &str, take_back: bool, follow: bool) -> Result<(), Failure> {
    let zone: AvailabilityZoneId = zone.parse().map_err(|e| Failure::Usage { why: format!("{e}") })?;
    let boxes = Boxes::new(&opts.boxes)?;
    let method = if take_back { Method::DELETE } else { Method::PUT };
    let path = format!("/v1/evacuations/{zone}");
    show(opts.format, &zone, &call(&boxes, method, &path).await?);
    if !follow || take_back {
        return Ok(());
    }
    for _ in 0..opts.timeout_s {
        let reply = call(&boxes, Method::GET, "/v1/evacuations").await?;
        if here(&reply, &zone).is_none_or(|evacuation| evacuation.running_tasks == 0) {
            show(opts.format, &zone, &reply);
            return Ok(());
        }
        smol::Timer::after(LOOK_EVERY).await;
        show(opts.format, &zone, &reply);
    }
    Err(Failure::Pending { why: format!("something still runs in {zone} after {} s", opts.timeout_s) })
}

/// Asks the box that schedules, whichever of the given it is.
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

fn here(reply: &Value, zone: &AvailabilityZoneId) -> Option<Evacuation> {
    let all: Evacuations = serde_json::from_value(reply.clone()).ok()?;
    all.evacuations.into_iter().find(|evacuation| evacuation.availability_zone == *zone)
}

fn show(format: Format, zone: &AvailabilityZoneId, reply: &Value) {
    if format == Format::Json {
        say!("{reply}");
        return;
    }
    let Some(evacuation) = here(reply, zone) else {
        say!("{zone} takes work");
        return;
    };
    say!(
        "{zone} is evacuated (asked for by {}); {} tasks run there, the last ends in {:.1} s",
        evacuation.by.join(" and "),
        evacuation.running_tasks,
        evacuation.longest_left_ms as f64 / 1000.0
    );
    let missing = evacuation.guaranteed.saturating_sub(evacuation.accelerators_elsewhere);
    if missing > 0 {
        say!("GUARANTEES cannot all be kept meanwhile: {missing} accelerators are missing");
    }
}
