//! Alarms, raised only when a person must act, and one per cause for the whole fleet.
//!
//! Each node judges the answers to its own callers only. A cause that it sees becomes an entry of its
//! [`Alarms`], and membership messages carry entries as bounded [`AlarmSummary`] values, which every node merges.
//! All nodes thus come to know the same causes, whichever node saw them. The first live node by rendezvous hash
//! of the cause sends the alarm and marks the entry as sent; the mark spreads like the rest of the entry. The
//! others stay silent while that node is alive, and its successor sends only what is not marked. Two alarms for
//! one cause are possible when the sender dies before the mark has left it, and in a network partition, where
//! each side sends at most one.

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
