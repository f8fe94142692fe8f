//! Distribution of the operators' configuration to boxes and backend servers.
//!
//! A [`Current`] holds the configuration in force on a box. Documents come from the platform's store, from other boxes
//! and from backend servers; the highest revision wins, and a box never returns to a lower one. A [`Document`] is the
//! configuration in the store. Its history of applies tells an operator whose reply was lost whether the apply took
//! effect. An [`Apply`] writes a new document.
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
