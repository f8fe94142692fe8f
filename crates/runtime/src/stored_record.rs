//! Records that the elected scheduler keeps in the store for the next one, each under a key of its own.

use model::{Duration, Revision};
use outside::{Committed, Item, Put, Transaction};

use crate::{active::Active, context::Context, keys, timers::Backoff};

/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Outcome of a write of a record.
#[derive(Debug)]
pub(crate) enum RecordWrite {
    /// The store holds the record, at this revision.
    Stored(Revision),
    /// The store holds this record in place of the one to be replaced, since an earlier write of this scheduler took
    /// effect after all; `None` if it holds none.
    Found(Option<Item>),
    /// Another scheduler has been elected, or the outcome is unknown.
    Failed,
}

/// Reads the record under a key, with retries until the store responds. Returns `None` if there is no record.
pub(crate) async fn read(cx: &Context, key: &str) -> Option<Item> {
    let mut backoff = Backoff::new();
    loop {
        match cx.store.get(key.to_owned()).await {
            Ok(item) => return item,
            Err(e) => {
                log::info!("event=read_failed key={key} why={e}");
                backoff.wait().await;
            }
        }
    }
}

/// Replaces the record at revision `replaces` (0 for none), on the condition that this scheduler is the elected one.
pub(crate) async fn replace(
    cx: &Context,
    active: &Active,
    key: &str,
    value: Vec<u8>,
    replaces: Revision,
) -> RecordWrite {
    let elected = (keys::SCHEDULER.to_owned(), Revision(active.fence.0));
    let transaction = Transaction {
        expect: vec![elected.clone(), (key.to_owned(), replaces)],
        put: vec![Put { key: key.to_owned(), value, lease: None }],
        remove: Vec::new(),
    };
    match cx.store.commit(transaction, WRITE_TIMEOUT).await {
        Ok(Committed::Done(revision)) => RecordWrite::Stored(revision),
        Ok(Committed::Conflict(items)) => {
            let is_elected = items.iter().any(|item| (&item.key, item.revision) == (&elected.0, elected.1));
            let found = items.into_iter().find(|item| item.key == key);
            if is_elected { RecordWrite::Found(found) } else { RecordWrite::Failed }
        }
        Ok(Committed::LeaseGone) => RecordWrite::Failed,
        Err(e) => {
            log::info!("event=record_not_stored key={key} fence={} why={e}", active.fence);
            RecordWrite::Failed
        }
    }
}
