//! Alarms that require an operator to act, deduplicated to one per cause over the whole fleet.
//!
//! Each node evaluates only the answers to its own callers. A cause that it observes becomes an entry of its
//! [`Alarms`]. Membership messages carry entries as [`AlarmSummary`] values of bounded size, which every node
//! merges, so all nodes converge to the same set of causes. The first live node by rendezvous hash of the cause
//! sends the alarm and marks the entry as sent; the mark is gossiped with the entry. Other nodes do not send while
//! that node is alive, and its successor sends only alarms that are not marked. A cause can be sent twice if the
//! sender fails before it has gossiped the mark, and during a network partition, where each side sends at most one
//! alarm.

mod alarms;
mod cause;
mod notice;
mod quiet_hours;
mod summary;
mod window;

pub use self::{
    alarms::{AlarmState, Alarms},
    cause::Cause,
    notice::{Alarm, Notice, NoticeKind},
    quiet_hours::in_quiet_hours,
    summary::AlarmSummary,
    window::Sample,
};
