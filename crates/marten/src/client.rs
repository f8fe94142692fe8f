//! HTTP client of the boxes, which tries one after another until one responds.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use net::http::{Client, Reply};

use crate::exit::Failure;

/// Timeout of a call, not counting the time that the call itself may wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of attempts at each box before a call fails.
const ROUNDS: u32 = 3;
/// Pause after the first round, in milliseconds; doubles with each round.
const PAUSE_MS: u64 = 200;

/// Client of the boxes that the command line names.
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

    /// Makes an idempotent call; `wait` is the longest time that the box may wait before it responds.
    ///
    /// Returns [`Failure::Unavailable`] if no box answers in any round.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Reply, Failure> {
        let mut last_error = String::new();
        for round in 0..ROUNDS {
            for addr in &self.addrs {
                let call = self.client.call(*addr, method.clone(), path, body.clone().into(), CALL_TIMEOUT + wait);
                match call.await {
                    Ok(reply) => return Ok(reply),
                    Err(e) => {
                        log::info!("{addr}: {e}");
                        last_error = format!("{addr}: {e}");
                    }
                }
            }
            let pause = (PAUSE_MS << round) + fastrand::u64(0..PAUSE_MS);
            smol::Timer::after(Duration::from_millis(pause)).await;
        }
        Err(Failure::Unavailable { why: format!("no box answers; last error: {last_error}") })
    }

    /// Makes a call that only the scheduling box can answer: tries each box until one does not redirect to another.
    ///
    /// Returns the last redirect if no box schedules, and [`Failure::Unavailable`] if none responds.
    pub(crate) async fn call_scheduler(&self, method: Method, path: &str) -> Result<Reply, Failure> {
        let mut redirect = None;
        for round in 0..ROUNDS {
            for addr in &self.addrs {
                match self.client.call(*addr, method.clone(), path, Default::default(), CALL_TIMEOUT).await {
                    Ok(reply) if reply.status == StatusCode::MISDIRECTED_REQUEST => redirect = Some(reply),
                    Ok(reply) => return Ok(reply),
                    Err(e) => log::info!("{addr}: {e}"),
                }
            }
            smol::Timer::after(Duration::from_millis(PAUSE_MS << round)).await;
        }
        redirect.ok_or_else(|| Failure::Unavailable { why: "no box answers".to_owned() })
    }

    /// Gets a path and parses the body as JSON.
    pub(crate) async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let reply = self.call(Method::GET, path, Vec::new(), Duration::ZERO).await?;
        if reply.status != StatusCode::OK {
            return Err(refused(&reply));
        }
        reply.json().map_err(|e| Failure::Unavailable { why: e.to_string() })
    }
}

/// Converts an error response to a failure.
pub(crate) fn refused(reply: &Reply) -> Failure {
    Failure::Refused { why: format!("{}: {}", reply.status, String::from_utf8_lossy(&reply.body).trim()) }
}
