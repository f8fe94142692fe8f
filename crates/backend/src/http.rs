//! Backend servers over HTTP/1 and JSON.

use std::{collections::BTreeMap, net::SocketAddr, sync::RwLock};

use model::{BackendServerId, Duration};
use net::{BoxFuture, NetError, http::Client};

use crate::{BackendReply, BackendRequest, Backends};

/// Where a backend server takes requests.
pub const PATH: &str = "/v1/leases";

/// Backend servers by address; the addresses come from the operators' file.
#[derive(Default)]
pub struct HttpBackend {
    client: Client,
    addresses: RwLock<BTreeMap<BackendServerId, SocketAddr>>,
}

impl HttpBackend {
    /// Takes over the addresses of a new configuration.
    pub fn set_addresses(&self, addresses: BTreeMap<BackendServerId, SocketAddr>) {
        *self.addresses.write().expect("no holder panics") = addresses;
    }
}

impl Backends for HttpBackend {
    fn call(
        &self,
        server: &BackendServerId,
        req: BackendRequest,
        limit: Duration,
    ) -> BoxFuture<'static, Result<BackendReply, NetError>> {
        let addr = self.addresses.read().expect("no holder panics").get(server).copied();
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
