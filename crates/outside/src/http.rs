//! The platform over HTTP/1 and JSON.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use net::{BoxFuture, NetError, http::Client};

use crate::{ListedBox, Listing, Store, StoreReply, StoreRequest};

/// Where the key-value service takes requests.
pub const STORE_PATH: &str = "/v1/store";
/// Where the list stands.
pub const LISTING_PATH: &str = "/v1/boxes";
/// A call that waits for nothing ends within this.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// The key-value service at an address.
pub struct HttpStore {
    addr: SocketAddr,
    client: Client,
}

impl HttpStore {
    /// The service at `addr`.
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

/// The list at an address.
pub struct HttpListing {
    addr: SocketAddr,
    client: Client,
}

impl HttpListing {
    /// The list at `addr`.
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
