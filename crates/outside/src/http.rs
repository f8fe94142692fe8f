//! Adapters for a platform that offers its services over HTTP/1 and JSON.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use net::{BoxFuture, NetError, http::Client};

use crate::{ListedBox, Listing, Store, StoreReply, StoreRequest};

/// Path of the key-value service, which accepts `POST` requests.
pub const STORE_PATH: &str = "/v1/store";
/// Path of the list of boxes.
pub const LISTING_PATH: &str = "/v1/boxes";
/// Time limit of a call, in addition to the time that the service is asked to wait.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Client of the key-value service.
pub struct HttpStore {
    addr: SocketAddr,
    client: Client,
}

impl HttpStore {
    /// Creates a client of the service at `addr`. Connects on the first call.
    pub fn new(addr: SocketAddr) -> HttpStore {
        HttpStore { addr, client: Client::default() }
    }
}

impl Store for HttpStore {
    fn call(&self, req: StoreRequest) -> BoxFuture<'static, Result<StoreReply, NetError>> {
        let client = self.client.clone();
        let addr = self.addr;
        let limit = match &req {
            StoreRequest::Watch { wait, .. } => CALL_LIMIT + (*wait).into(),
            _ => CALL_LIMIT,
        };
        Box::pin(async move { client.post_json(addr, STORE_PATH, &req, limit).await })
    }
}

/// Client of the list of boxes.
pub struct HttpListing {
    addr: SocketAddr,
    client: Client,
}

impl HttpListing {
    /// Creates a client of the list at `addr`. Connects on the first call.
    pub fn new(addr: SocketAddr) -> HttpListing {
        HttpListing { addr, client: Client::default() }
    }
}

impl Listing for HttpListing {
    fn list(&self) -> BoxFuture<'static, Result<Vec<ListedBox>, NetError>> {
        let client = self.client.clone();
        let addr = self.addr;
        Box::pin(
            async move { client.call(addr, Method::GET, LISTING_PATH, Default::default(), CALL_LIMIT).await?.json() },
        )
    }
}
