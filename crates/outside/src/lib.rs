//! Traits of external systems: the platform's stores, its list of boxes, which lags, and clocks.
//!
//! Each is used as a trait object, so that fakes and other protocols can replace the HTTP adapters. Calls to the
//! key-value service cost money and are limited by the platform to some hundred writes and about 2,000 reads per
//! second, where a pending watch counts as one read. Nothing here retries on its own for that reason.

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
