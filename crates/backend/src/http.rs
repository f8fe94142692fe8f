//! Calls to backend servers over HTTP/1 with JSON bodies.

use std::{collections::BTreeMap, net::SocketAddr, sync::RwLock};

use model::{BackendServerId, Duration};
use net::{BoxFuture, NetError, http::Client};

use crate::{BackendReply, BackendRequest, Backends};

/// Path at which a backend server accepts [`BackendRequest`]s by POST.
pub const PATH: &str = "/v1/leases";

/// HTTP client for backend servers, with the addresses that the operators' file gives.
#[derive(Default)]
pub struct HttpBackend {
    client: Client,
    addresses: RwLock<BTreeMap<BackendServerId, SocketAddr>>,
}

impl HttpBackend {
    /// Replaces the addresses by those of a new configuration. Later calls to a backend server that is not among them
    /// fail with [`NetError::Unsent`].
    pub fn set_addresses(&self, addresses: BTreeMap<BackendServerId, SocketAddr>) {
        *self.addresses.write().expect("no thread panics while it holds this lock") = addresses;
    }
}

impl Backends for HttpBackend {
    fn call(
        &self,
        server: &BackendServerId,
        req: BackendRequest,
        limit: Duration,
    ) -> BoxFuture<'static, Result<BackendReply, NetError>> {
        let addr = self.addresses.read().expect("no thread panics while it holds this lock").get(server).copied();
        let client = self.client.clone();
        let server = server.clone();
        Box::pin(async move {
            let Some(addr) = addr else {
                return Err(NetError::Unsent { why: format!("no address is known for {server}") });
            };
            client.post_json(addr, PATH, &req, limit.into()).await
        })
    }
}
