//! Selection of the node addresses that a caller should use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::{
    NodeId,
    config::{DomainList, VmList, VmState},
    rank,
};

/// Maximum number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 3;
/// Time for which a caller may use an answer, in milliseconds.
pub const LIFETIME_MS: u64 = 30_000;
/// Time for which a leaving node keeps serving, in milliseconds: the lifetime of an answer plus 5 s for its
/// delivery.
pub const DRAIN_MS: u64 = LIFETIME_MS + 5_000;

/// The answer to `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// The addresses at which the nodes serve callers, in the order in which to try them.
    pub addresses: Vec<SocketAddr>,
    pub lifetime_ms: u64,
}

/// Returns the nodes that `caller` should use, ranked by rendezvous hash of its id.
///
/// The answer contains only live nodes that are not leaving and whose failure domain is in service. It covers as
/// many failure domains as possible, so that the loss of one never takes away all addresses of a caller.
pub fn answer(
    caller: &str,
    vms: &VmList,
    domains: &DomainList,
    is_alive: impl Fn(&NodeId) -> bool,
) -> AddressAnswer {
    let usable = vms.vms.iter().filter(|vm| {
        vm.state == VmState::Live && !domains.out.contains(&vm.domain) && is_alive(&vm.id)
    });
    let ranked = rank(caller, usable.map(RankedVm).collect());
    let mut chosen: Vec<_> = Vec::with_capacity(MAX_ADDRESSES);
    for require_new_domain in [true, false] {
        for RankedVm(vm) in &ranked {
            let excludes = |other: &&crate::core::config::Vm| {
                other.id == vm.id || require_new_domain && other.domain == vm.domain
            };
            if chosen.len() < MAX_ADDRESSES && !chosen.iter().any(excludes) {
                chosen.push(vm);
            }
        }
    }
    AddressAnswer {
        addresses: chosen.iter().map(|vm| vm.caller).collect(),
        lifetime_ms: LIFETIME_MS,
    }
}

struct RankedVm<'a>(&'a crate::core::config::Vm);

impl AsRef<str> for RankedVm<'_> {
    fn as_ref(&self) -> &str {
        self.0.id.as_str()
    }
}
