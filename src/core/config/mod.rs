//! Versioned configuration documents: parsing, validation, merging and distribution between nodes.

mod digest;
mod documents;
mod fault;
pub(crate) mod parse;
pub mod relay;
mod store;
pub(crate) mod table;

pub use self::{
    digest::{Digest, DigestOrder, Stamp, Versions},
    documents::{
        AlarmPolicy, ConfigView, Document, DomainList, HedgePolicy, LeafInfo, QuietHours,
        ServiceMap, ServicePolicy, Shard, Snapshot, SnapshotState, Vm, VmList, VmState,
    },
    fault::{Fault, Rejection},
    parse::{
        DocumentKind, MAX_VALUE_BYTES, MapPart, ParsedDocument, document_kind, parse_document,
    },
    store::{ApplyResult, ConfigStore, MAX_KEYS, MAX_STORE_BYTES, MAX_VERSION},
};
