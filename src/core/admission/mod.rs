//! Admission of whole queries while the leaves of their services are short of capacity.
//!
//! Services that occur together in queries form a [`Pool`], which has one limit on the parts in flight and one queue. The
//! limit is off until queries are late or incomplete because leaves shed calls or had no room; it then follows
//! [`Limiter`]. Queries wait for a quarter of the time left until their objective at most and are rejected at the moment
//! at which the measured rate shows that they will not get capacity within it.
//!
//! Designed for demand of 1.7 to 4 times the capacity for seconds, with gathers over all shards beside urgent queries,
//! callers that repeat at once, and one caller that sends many times what the others send. Without admission, gathers
//! that get some of their parts hold slots that others need to complete, and most are answered late.

mod flows;
mod limiter;
mod pool;

use std::{collections::HashMap, net::IpAddr, sync::Arc, time::Duration};

use rand::Rng;

use self::pool::Pool;
use crate::core::{ServiceName, Time, crash::Fingerprint};

/// On whose behalf a query runs. Capacity is shared equally among the flows of one priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Flow {
    Account(Arc<str>),
    Caller(IpAddr),
    /// Queries that other nodes handed over.
    OtherNode,
}

/// A query that asks for admission.
#[derive(Clone, Debug)]
pub struct Claim<'a> {
    /// The services of the query's parts.
    pub target: &'a [ServiceName],
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// When the answer must be complete to have its full value.
    pub objective_at: Time,
    /// When the query ends regardless of the parts received.
    pub deadline: Time,
    pub flow: Flow,
    /// Identity of the query's content, by which repeats of the query are known.
    pub content: Fingerprint,
}

/// Identifies a query from its claim to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    id: u64,
    /// One of the services of the query.
    service: u32,
}

/// What a query gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Admitted,
    /// The query waits for a decision from [`Admission::poll`].
    Queued,
    /// The query must not be sent. A retry after this time may succeed.
    Rejected(Duration),
}

/// How an admitted query ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    /// The answer was whole and within the objective.
    pub in_time: bool,
    /// A part that was late or missing, or any part of a whole answer, was shed by a leaf or found no leaf with room.
    pub lacked_room: bool,
    /// Number of answered parts.
    pub answered: u32,
}

/// The state of a pool, for log lines and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Maximum number of parts in flight; `None` while the limit is off.
    pub limit: Option<f64>,
    /// Parts of the queries in flight.
    pub in_flight: u32,
    /// Queries that wait.
    pub queued: usize,
    /// Answered parts per second.
    pub rate: f64,
}

/// Admission of one node's queries.
#[derive(Debug, Default)]
pub struct Admission {
    services: HashMap<ServiceName, u32>,
    /// The pool of each service.
    pool_of: Vec<usize>,
    pools: Vec<Pool>,
    next_id: u64,
    /// Number of queries in queues.
    queued: usize,
    /// Decisions that [`Admission::poll`] has not returned yet.
    decided: Vec<(u64, Decision)>,
    change: Option<Load>,
}

impl Admission {
    /// Asks for the admission of a query.
    pub fn request(
        &mut self,
        now: Time,
        claim: &Claim<'_>,
        rng: &mut impl Rng,
    ) -> (Ticket, Decision) {
        let id = self.next_id;
        self.next_id += 1;
        let Some(service) = self.join(claim.target) else {
            return (Ticket { id, service: 0 }, Decision::Admitted);
        };
        let index = self.pool_of[service as usize];
        let before = self.pools[index].queued();
        let decision = self.pools[index].request(now, id, claim, rng);
        self.collect(index, before);
        (Ticket { id, service }, decision)
    }

    /// Ends an admitted query. Freed capacity is assigned by the next [`Admission::poll`].
    pub fn release(&mut self, now: Time, ticket: Ticket, ending: Ending) {
        if let Some(index) = self.pool_index(ticket) {
            let before = self.pools[index].queued();
            self.pools[index].release(now, ticket.id, ending);
            self.collect(index, before);
        }
    }

    /// Frees the place of a query whose caller has left before the query was sent.
    pub fn cancel(&mut self, now: Time, ticket: Ticket) {
        let Some(index) = self.pool_index(ticket) else {
            return;
        };
        self.decided.retain(|(id, _)| *id != ticket.id);
        if self.pools[index].cancel(ticket.id) {
            self.queued -= 1;
        } else {
            self.release(now, ticket, Ending::default());
        }
    }

    /// Returns the decisions on queries that waited, by [`Ticket::id`]. Each is returned once.
    pub fn poll(&mut self, now: Time, rng: &mut impl Rng) -> Vec<(u64, Decision)> {
        if self.queued > 0 {
            for index in 0..self.pools.len() {
                let before = self.pools[index].queued();
                self.pools[index].settle(now, rng);
                self.collect(index, before);
            }
        }
        std::mem::take(&mut self.decided)
    }

    /// Returns whether [`Admission::poll`] has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.queued == 0 && self.decided.is_empty()
    }

    /// Returns when [`Admission::poll`] is due at the latest, `None` if no query waits.
    pub fn next_poll(&self) -> Option<Time> {
        let pools = self.pools.iter().filter(|_| self.queued > 0);
        pools.filter_map(Pool::next_poll).min()
    }

    /// Returns the number of queries that wait.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the number of pools whose limit is on.
    pub fn limited_count(&self) -> usize {
        self.pools.iter().filter(|pool| pool.is_limited()).count()
    }

    /// Returns the state of the pool of a query.
    pub fn load(&self, ticket: Ticket) -> Load {
        self.pool_index(ticket)
            .map_or_else(Load::default, |index| self.pools[index].load())
    }

    /// Returns the state of a pool whose limit was switched on or off or decreased since the last call.
    pub fn take_change(&mut self) -> Option<Load> {
        self.change.take()
    }

    fn pool_index(&self, ticket: Ticket) -> Option<usize> {
        self.pool_of.get(ticket.service as usize).copied()
    }

    /// Takes over what a pool, which had `before` queries in its queue, has decided.
    fn collect(&mut self, index: usize, before: usize) {
        let pool = &mut self.pools[index];
        self.queued = self.queued + pool.queued() - before;
        self.decided.append(&mut pool.decided);
        self.change = pool.take_change().or(self.change);
    }

    /// Joins the pools of services that occur in one query. Returns one of the services.
    fn join(&mut self, target: &[ServiceName]) -> Option<u32> {
        let mut first = None;
        for name in target {
            let service = match self.services.get(name) {
                Some(service) => *service,
                None => {
                    let service = self.pool_of.len() as u32;
                    self.services.insert(name.clone(), service);
                    self.pool_of.push(self.pools.len());
                    self.pools.push(Pool::default());
                    service
                }
            };
            let first = *first.get_or_insert(service) as usize;
            let (pool, other) = (self.pool_of[first], self.pool_of[service as usize]);
            if pool != other {
                let absorbed = std::mem::take(&mut self.pools[other]);
                self.pools[pool].absorb(absorbed);
                let entries = self.pool_of.iter_mut();
                entries
                    .filter(|entry| **entry == other)
                    .for_each(|entry| *entry = pool);
            }
        }
        first
    }
}

impl Ticket {
    /// Returns the id under which [`Admission::poll`] returns the decision.
    pub fn id(self) -> u64 {
        self.id
    }
}
