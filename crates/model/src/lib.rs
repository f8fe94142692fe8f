//! Checked types of martenscale: identifiers, resources, durations, jobs, outcomes and the operators' file.
//!
//! External input arrives as raw JSON and is converted into these types with `TryFrom`. A value of a type of this crate
//! is therefore within its bounds, and no other crate repeats the checks. The crate does no I/O and reads no clock.
//!
//! ```
//! use model::{JobSpec, Resources};
//! let spec: JobSpec = model::from_json(
//!     br#"{"customer":"city-court","request":"r-1","class":"labelling",
//!         "gang":{"tasks":1,"per_task":{"accelerators":1,"cores":2,"memory_gb":4}},
//!         "declared_ms":60000,"repeatable":true,"checkpointable":false,"payload":""}"#,
//! )
//! .expect("the request is well formed");
//! assert_eq!(spec.gang.total(), Resources::new(1, 2, 4));
//! ```

mod check;
mod digest;
mod file;
mod id;
mod job;
mod outcome;
mod quantity;

pub use crate::{
    check::{CheckError, JsonPath, from_json},
    digest::Digest,
    file::{
        BackendServerEntry, ClassEntry, CustomerEntry, Guarantee, OperatorFile, RawCustomerEntry, RawOperatorFile,
        ServerMode, Weights,
    },
    id::{
        ApplyId, AvailabilityZoneId, BackendServerId, BoxId, ClassId, CustomerId, IdError, Incarnation, JobId, RackId,
        RequestId,
    },
    job::{Attempt, Epoch, Gang, JobSpec, LeaseToken, Member, RawGang, RawJobSpec, RawResources, Resources, Within},
    outcome::{NotRunReason, Outcome},
    quantity::{Duration, Moment, QuantityError, Rate, Revision},
};
