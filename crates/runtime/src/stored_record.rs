//! Records that the elected scheduler keeps in the store for the next one, each under a key of its own.

use model::{Duration, Revision};
use outside::{Committed, Item, Put, StoreError, Transaction};

use crate::{active::Active, context::Context, keys, timers::Backoff};

/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Response of the store to a write of a record.
#[derive(Debug)]
pub(crate) enum RecordWrite {
    /// The store holds the record, at this revision.
    Stored(Revision),
    /// The store holds this record in place of the one to be replaced, since an earlier write of this scheduler took
    /// effect after all; `None` if it holds none.
    Found(Option<Item>),
    /// Another scheduler has been elected.
    Deposed,
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
/// After an error the outcome may be unknown.
pub(crate) async fn replace(
    cx: &Context,
    active: &Active,
    key: &str,
    value: Vec<u8>,
    replaces: Revision,
) -> Result<RecordWrite, StoreError> {
    let elected = (keys::SCHEDULER.to_owned(), Revision(active.fence.0));
    let transaction = Transaction {
        expect: vec![elected.clone(), (key.to_owned(), replaces)],
        put: vec![Put { key: key.to_owned(), value, lease: None }],
        remove: Vec::new(),
    };
    match cx.store.commit(transaction, WRITE_TIMEOUT).await? {
        Committed::Done(revision) => Ok(RecordWrite::Stored(revision)),
        Committed::Conflict(items) => {
            let is_elected = items.iter().any(|item| (&item.key, item.revision) == (&elected.0, elected.1));
            let found = items.into_iter().find(|item| item.key == key);
            Ok(if is_elected { RecordWrite::Found(found) } else { RecordWrite::Deposed })
        }
        Committed::LeaseGone => Err(StoreError::Refused { why: "a lease is gone, and the record has none".to_owned() }),
    }
}
