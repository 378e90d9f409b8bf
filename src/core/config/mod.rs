//! Versioned configuration documents: merge, validation, the view in force and their dissemination.

mod digest;
mod documents;
mod fault;
mod parse;
pub mod relay;
mod store;

pub use self::{
    digest::{Digest, Standing, Versions},
    documents::{
        AlarmPolicy, Document, DomainList, HedgePolicy, LeafInfo, QuietHours, ServiceMap,
        ServicePolicy, Shard, Snapshot, SnapshotState, View, Vm, VmList, VmState,
    },
    fault::{Fault, Rejection},
    parse::{Parsed, parse_document},
    store::{Applied, ConfigStore},
};
