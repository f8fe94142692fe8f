//! The border to backend servers: what they are asked, what they answer, and how it is carried.
//!
//! A backend server keeps a *lease table*, which is the truth about who runs on its worker. Every
//! request carries (job, attempt, epoch), and what is older than the table has seen is refused.
//! The trait has one method over typed messages, so that a fake in a test or another protocol can
//! take the place of [`HttpBackend`].

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

/// Backend servers, as their callers see them.
pub trait Backends: Send + Sync + 'static {
    /// Asks one backend server. `limit` bounds the whole call.
    fn call(
        &self,
        server: &BackendServerId,
        req: BackendRequest,
        limit: model::Duration,
    ) -> BoxFuture<'static, Result<BackendReply, NetError>>;
}
