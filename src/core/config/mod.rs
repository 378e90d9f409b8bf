//! Versioned configuration documents: merge, validation and the view in force.

mod documents;

pub use self::documents::{
    AlarmPolicy, Document, DomainList, HedgePolicy, LeafInfo, QuietHours, ServiceMap,
    ServicePolicy, Shard, Snapshot, SnapshotState, View, Vm, VmList, VmState,
};
