//! Asks the boxes, one after another until one answers.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use net::http::{Client, Reply};

use crate::exit::Failure;

/// A call that waits for nothing ends within this.
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// Rounds over all boxes before a call is given up.
const ROUNDS: u32 = 3;
/// First pause between rounds; doubles, with jitter.
const PAUSE_MS: u64 = 200;

/// The boxes.
pub(crate) struct Boxes {
    client: Client,
    addrs: Vec<SocketAddr>,
}

impl Boxes {
    pub(crate) fn new(addrs: &[SocketAddr]) -> Result<Boxes, Failure> {
        if addrs.is_empty() {
            return Err(Failure::Usage { why: "no box is given: name one with --box IP:PORT".to_owned() });
        }
        Ok(Boxes { client: Client::default(), addrs: addrs.to_vec() })
    }

    /// Makes a call that may be repeated without harm; `wait` is what the call itself may wait.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Reply, Failure> {
        let mut last = String::new();
        for round in 0..ROUNDS {
            for addr in &self.addrs {
                let call = self.client.call(*addr, method.clone(), path, body.clone().into(), CALL_LIMIT + wait);
                match call.await {
                    Ok(reply) => return Ok(reply),
                    Err(e) => {
                        log::info!("{addr}: {e}");
                        last = format!("{addr}: {e}");
                    }
                }
            }
            let pause = (PAUSE_MS << round) + fastrand::u64(0..PAUSE_MS);
            smol::Timer::after(Duration::from_millis(pause)).await;
        }
        Err(Failure::Unavailable { why: format!("no box answers; the last one: {last}") })
    }

    /// Makes a call that only the box that schedules can answer: each is asked until one does not point elsewhere.
    pub(crate) async fn call_scheduler(&self, method: Method, path: &str) -> Result<Reply, Failure> {
        let mut elsewhere = None;
        for round in 0..ROUNDS {
            for addr in &self.addrs {
                match self.client.call(*addr, method.clone(), path, Default::default(), CALL_LIMIT).await {
                    Ok(reply) if reply.status == StatusCode::MISDIRECTED_REQUEST => elsewhere = Some(reply),
                    Ok(reply) => return Ok(reply),
                    Err(e) => log::info!("{addr}: {e}"),
                }
            }
            smol::Timer::after(Duration::from_millis(PAUSE_MS << round)).await;
        }
        elsewhere.ok_or_else(|| Failure::Unavailable { why: "no box answers".to_owned() })
    }

    /// Reads a path as JSON.
    pub(crate) async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let reply = self.call(Method::GET, path, Vec::new(), Duration::ZERO).await?;
        if reply.status != StatusCode::OK {
            return Err(refused(&reply));
        }
        reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() })
    }
}

/// A reply that says no.
pub(crate) fn refused(reply: &Reply) -> Failure {
    Failure::Refused { why: format!("{}: {}", reply.status, String::from_utf8_lossy(&reply.body).trim()) }
}
