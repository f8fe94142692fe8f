//! The operators' configuration on its way to every box and backend server.
//!
//! A [`Current`] holds the highest revision that its box knows of and never goes back. Documents
//! come from the platform's store, from peers and from backend servers alike; the highest wins.
//! [`Document`] is what stands in the store, with the record of past applies by which a lost
//! answer is settled.
//!
//! ```
//! use spread::{Current, Taken};
//!
//! let mut current = Current::default();
//! let text = r#"{"revision":1,"history":[],"file":{"weights":{"completion_time":1,"fragmentation":1},
//!     "classes":[{"id":"c","queue_limit":1}],"customers":[{"id":"a","share":1}],"backend_servers":[]}}"#;
//! assert_eq!(current.take(text), Ok(Taken::InForce));
//! assert_eq!(current.take(text), Ok(Taken::Known));
//! ```

mod apply;
mod current;
mod document;

pub use crate::{
    apply::{Applied, Apply, ApplyStep},
    current::{Current, Taken},
    document::{CONFIG_KEY, Document, HistoryEntry},
};
