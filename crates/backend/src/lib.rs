//! Interface to backend servers: request and reply messages, and their transport over HTTP.
//!
//! A backend server keeps a *lease table*, the authoritative record of which jobs its worker runs. Every request that
//! changes a lease carries the job and a *lease token* of attempt and epoch. An attempt is one try to run a whole gang;
//! an epoch numbers the boxes that have held the attempt, one after another. A request with a token older than the
//! newest that the table has seen is refused, so that a box that was superseded can't interfere.
//!
//! The trait has one method over typed messages, so that a fake in a test or another protocol can replace
//! [`HttpBackend`].

mod http;
mod message;

use model::BackendServerId;
use net::{BoxFuture, NetError};

pub use crate::{
    http::{HttpBackend, PATH},
    message::{
        Answer, BackendReply, BackendRequest, Holder, Lease, Refusal, Renewal, ServerInfo, TableUpdate, TaskSpec,
        TaskState,
    },
};

/// Transport for requests to backend servers.
pub trait Backends: Send + Sync + 'static {
    /// Sends a request to one backend server and returns its reply. `limit` bounds the whole call.
    ///
    /// After [`NetError::Lost`] the request may have taken effect; after any other error it was not sent.
    fn call(
        &self,
        server: &BackendServerId,
        req: BackendRequest,
        limit: model::Duration,
    ) -> BoxFuture<'static, Result<BackendReply, NetError>>;
}
