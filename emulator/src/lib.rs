//! Emulators of the platform and the upstreams, for tests, the demo and experiments.
//!
//! [`Platform`] is the configuration service and the VM list. [`Upstream`] hosts leaves that index the records
//! of a [`Corpus`]. Both implement the interfaces of section 11 of `docs/design.md`, and faults can be injected
//! while they run. [`Store`] and [`GatewayLeaf`] speak the protocols of the users' platform for tests of the gateway.

mod data;
mod gateway_leaf;
mod http;
mod layout;
mod link;
mod node;
mod platform;
mod store;
mod upstream;
mod work;

pub use self::{
    data::{Corpus, Hit, Record, score, shard_of, terms},
    gateway_leaf::{GatewayLeaf, LeafMode},
    layout::{LeafSpec, SnapshotSpec, assign_shards, map_document},
    link::{Link, LinkMode},
    node::{NodeSpec, vms_document},
    platform::{Platform, PlatformControl, PlatformCounters},
    store::{Access, Store, StoreCopy},
    upstream::{Execution, Fault, LeafControl, LeafCounters, Upstream, UpstreamSettings},
    work::{Stamped, Work},
};
