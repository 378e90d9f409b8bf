//! Stand-ins for the platform and the upstreams, for tests, the demo and experiments.
//!
//! [`Platform`] is the configuration service and the VM list. [`Upstream`] hosts leaves that index lines
//! of a [`Corpus`]. Both speak the contracts of `docs/design.md` section 11 and can be made to fail while
//! they run. [`Store`] and [`Worker`] speak the wire of the users' platform for tests of the gateway.

mod data;
mod gateway_leaf;
mod http;
mod layout;
mod node;
mod platform;
mod store;
mod upstream;

pub use self::{
    data::{Corpus, Hit, Record, score, shard_of, terms},
    gateway_leaf::{GatewayLeaf, LeafMode},
    layout::{LeafSpec, SnapshotSpec, assign_shards, map_document},
    node::{NodeSpec, vms_document},
    platform::{Platform, PlatformControl, PlatformCounters},
    store::{Access, Store},
    upstream::{Execution, Fault, LeafControl, LeafCounters, Upstream, UpstreamSettings},
};
