use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use smallvec::SmallVec;

use crate::{
    core::{Time, registry::Misdirection},
    gateway::leaf::Leaf,
};

/// Time in which a leaf rejects a call that names another one. Calls to leaves that share an address, of which none is known to
/// be there, wait for so long after the last one.
const CHECK_TIME: Duration = Duration::from_millis(30);

/// Leaves whose entries name the same address, usually one.
type Sharers = SmallVec<[Rc<Leaf>; 1]>;

/// The leaves by the address that their entries name. Only one of those that share an address is there.
#[derive(Debug, Default)]
pub(super) struct Claims(RefCell<HashMap<SocketAddr, Sharers>>);

impl Claims {
    pub(super) fn add(&self, leaf: &Rc<Leaf>) {
        let mut claims = self.0.borrow_mut();
        let sharers = claims.entry(leaf.address()).or_default();
        sharers.push(leaf.clone());
        update_contested(sharers);
    }

    pub(super) fn remove(&self, leaf: &Rc<Leaf>) {
        let mut claims = self.0.borrow_mut();
        let Some(sharers) = claims.get_mut(&leaf.address()) else {
            return;
        };
        sharers.retain(|other| !Rc::ptr_eq(other, leaf));
        update_contested(sharers);
        if sharers.is_empty() {
            claims.remove(&leaf.address());
        }
    }

    /// Puts out of use the leaves that are not at `address`, as a rejection from there has shown, until their entries change.
    /// Returns them.
    pub(super) fn refute(&self, address: SocketAddr, misdirection: Misdirection<'_>) -> Sharers {
        let claims = self.0.borrow();
        let Some(sharers) = claims.get(&address) else {
            return Sharers::new();
        };
        let usable = sharers.iter().filter(|leaf| !leaf.defunct.get());
        let (refuted, others): (Sharers, Sharers) = usable
            .cloned()
            .partition(|leaf| misdirection.refutes(&leaf.instance(), leaf.since));
        refuted.iter().for_each(|leaf| leaf.defunct.set(true));
        let is_present = |leaf: &&Rc<Leaf>| misdirection.present == Some(leaf.instance().as_str());
        if let Some(leaf) = others.iter().find(is_present) {
            leaf.confirmed.set(true);
        }
        update_contested(sharers);
        refuted
    }

    /// Returns whether a call has just been sent that will show which of the leaves with the address of this one is there.
    pub(super) fn is_being_checked(&self, now: Time, leaf: &Leaf) -> bool {
        if leaf.confirmed.get() || !leaf.contested.get() {
            return false;
        }
        let claims = self.0.borrow();
        let mut sharers = claims.get(&leaf.address()).into_iter().flatten();
        sharers.any(|other| {
            !other.confirmed.get() && other.stats.borrow().has_recent_call(now, CHECK_TIME)
        })
    }
}

fn update_contested(sharers: &Sharers) {
    let usable = sharers.iter().filter(|leaf| !leaf.defunct.get());
    let is_contested = usable.clone().count() > 1;
    usable.for_each(|leaf| leaf.contested.set(is_contested));
}
