//! The border to the platform: its key-value service, its lagging list of boxes, and clocks.
//!
//! Each is a trait object, so that fakes and other protocols can take the place of the HTTP
//! adapters. The store's calls cost money and are bounded (brief: some hundred writes and about
//! 2,000 reads a second, a waiting watch counted as one), so nothing here retries by itself.

mod clock;
mod coordination;
mod http;
mod listing;
mod store;

pub use crate::{
    clock::{Clock, SystemClock},
    coordination::{Change, Committed, CoordinationStore, Item, LeaseId, Page, Put, StoreError, Transaction, Watched},
    http::{HttpListing, HttpStore, LISTING_PATH, STORE_PATH},
    listing::{ListedBox, Listing},
    store::{Store, StoreReply, StoreRequest, Versioned},
};
