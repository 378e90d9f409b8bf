use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use super::{
    Ask, Grant, GrantEntry, MAX_ENTRIES, MAX_HOLDERS, QuotaBounds, Report, Return, account_id,
    budget::Budget, fleet::Fleet,
};
use crate::core::{
    NodeId, Time,
    account::{Account, RateLimit},
};

/// Factor by which more is asked for than is missing, since some holders have less.
const ASK_MARGIN: f64 = 1.25;
/// Minimum number of holders that are asked.
const MIN_ASKED: usize = 4;
/// Number of holders that are asked, as a multiple of the part of the limit that a node needs.
const ASKED_PER_PART: f64 = 12.0;
/// Interval at which the needs of all accounts are examined. Those that are urgent are examined in between.
pub const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of accounts that are examined in between. The others wait for the interval.
const MAX_URGENT: usize = 256;
/// Part of the time of a loan after which tokens that are not needed are returned. Together with an ask interval it leaves
/// time for the message.
const RETURN_PART: f64 = 0.3;
/// Maximum number of accounts. Beyond it, requests of further accounts are rejected rather than admitted uncounted.
const MAX_ACCOUNTS: usize = 100_000;

/// A message that asks for tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAsk {
    pub ask: Ask,
    /// Number of nodes that are holders of the accounts in the message, see [`Quotas::holders`].
    pub among: usize,
    /// Number of those to send it to, chosen at random.
    pub asked: usize,
}

/// Tokens that this node needs.
#[derive(Clone, Copy, Debug)]
struct Need {
    among: usize,
    asked: usize,
    id: u64,
    tokens: f64,
}

/// The messages that a node sends on its own account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outgoing {
    pub asks: Vec<OutgoingAsk>,
    pub returns: Vec<(NodeId, Return)>,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    pub retry_after: Duration,
    pub limit: RateLimit,
    /// This node's part of the refill, tokens per second.
    pub share: f64,
    /// Requests per second at this node.
    pub own_demand: f64,
    /// Requests per second that other nodes report to this one.
    pub peer_demand: f64,
}

/// A message that was sent and may still be answered.
#[derive(Clone, Debug)]
struct SentAsk {
    stamp: u64,
    sent: Time,
    grants: HashMap<NodeId, Grant>,
    is_released: bool,
}

/// Tokens that were lent and may still be returned.
#[derive(Clone, Debug)]
struct Lent {
    stamp: u64,
    at: Time,
    node: NodeId,
    entries: Vec<GrantEntry>,
}

/// The quotas of all accounts at one node.
#[derive(Clone, Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    fleet: Fleet,
    budgets: HashMap<u64, Budget>,
    sent: VecDeque<SentAsk>,
    lent: VecDeque<Lent>,
    last_stamp: u64,
    /// Accounts that need tokens before the next interval.
    urgent: Vec<u64>,
    /// When the needs of all accounts were last examined.
    examined: Time,
}

impl Quotas {
    pub fn new(now: Time, me: NodeId, bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            fleet: Fleet::new(now, me),
            budgets: HashMap::new(),
            sent: VecDeque::new(),
            lent: VecDeque::new(),
            last_stamp: 0,
            urgent: Vec::new(),
            examined: now,
        }
    }

    /// Changes the bounds. Tokens beyond the new ones are lost.
    pub fn set_bounds(&mut self, now: Time, bounds: QuotaBounds) {
        if self.bounds != bounds {
            self.bounds = bounds;
            self.apply_share(now);
        }
    }

    /// Updates what is known of the fleet: the nodes that callers are told to use, the live ones, and those that stop.
    pub fn set_nodes(
        &mut self,
        now: Time,
        serving: &[NodeId],
        alive: &[NodeId],
        leaving: &HashSet<NodeId>,
    ) {
        self.check_pause(now);
        if self.fleet.update(now, serving, alive, leaving) {
            self.apply_share(now);
        }
        self.budgets.retain(|_, budget| !budget.is_idle(now));
    }

    /// Returns the other nodes among a number of holders, which take messages that ask for tokens.
    pub fn holders(&self, max_holders: usize) -> impl Iterator<Item = &NodeId> {
        self.fleet.holders(max_holders)
    }

    /// Counts a request against the quota of its account, or rejects it.
    ///
    /// # Errors
    ///
    /// Returns when the caller should retry if there is no token for the request.
    pub fn admit(&mut self, now: Time, account: &Account) -> Result<(), Denial> {
        let Some(limit) = account.limit.filter(|limit| limit.per_s > 0.0) else {
            return Ok(());
        };
        self.check_pause(now);
        let bounds = self.bounds;
        let share = self.fleet.share(bounds.holders(limit));
        let id = account_id(&account.name);
        let Some(budget) = self.budget(now, id, limit) else {
            return Err(Denial {
                retry_after: bounds.window,
                limit,
                share: 0.0,
                own_demand: 0.0,
                peer_demand: 0.0,
            });
        };
        if budget.limit() != limit {
            budget.set_limit(now, limit, &bounds, share);
        }
        budget.confirm_limit(now);
        budget.refresh(now);
        let is_admitted = budget.take(now);
        let is_urgent = budget.is_urgent(now);
        let result = if is_admitted {
            Ok(())
        } else {
            Err(Denial {
                retry_after: budget.retry_after(now, &bounds),
                limit,
                share: budget.refill_rate(),
                own_demand: budget.demand(now),
                peer_demand: budget.peer_demand(now),
            })
        };
        let is_listed = self.urgent.last() == Some(&id);
        if is_urgent && !is_listed && self.urgent.len() < MAX_URGENT {
            self.urgent.push(id);
        }
        result
    }

    /// Takes back the count of a request that did not run.
    pub fn give_back(&mut self, now: Time, account: &Account) {
        if let Some(budget) = self.budgets.get_mut(&account_id(&account.name)) {
            budget.refresh(now);
            budget.give_back();
        }
    }

    /// Returns whether tokens should be asked for now rather than at the next interval.
    pub fn is_urgent(&self) -> bool {
        !self.urgent.is_empty() && self.fleet.holders(MAX_HOLDERS).next().is_some()
    }

    /// Returns the messages that ask holders for the tokens that this node needs, and those that return tokens.
    pub fn report(&mut self, now: Time) -> Outgoing {
        self.check_pause(now);
        let loan_time = self.bounds.loan_time();
        self.sent.retain(|sent| now.since(sent.sent) < loan_time);
        let returns = self.release(now, loan_time);
        let mut due = std::mem::take(&mut self.urgent);
        if now.since(self.examined) >= ASK_INTERVAL {
            self.examined = now;
            due = self.budgets.keys().copied().collect();
        }
        due.sort_unstable();
        due.dedup();
        let mut needs = Vec::new();
        for id in due {
            let Some(budget) = self.budgets.get_mut(&id) else {
                continue;
            };
            budget.refresh(now);
            if let Some((tokens, part)) = budget.need(now, loan_time) {
                let among = self.fleet.holder_count(self.bounds.holders(budget.limit()));
                let holders = self.fleet.holders(among).count();
                if holders > 0 {
                    let asked = (part * ASKED_PER_PART * holders as f64).ceil() as usize;
                    let asked = asked.max(MIN_ASKED).min(holders);
                    needs.push(Need {
                        among,
                        asked,
                        id,
                        tokens,
                    });
                }
            }
        }
        // Accounts that have the same holders and need many of them share messages.
        needs.sort_unstable_by_key(|need| Reverse((need.among, need.asked, need.id)));
        let asks = needs
            .chunk_by(|a, b| a.among == b.among)
            .flat_map(|needs| needs.chunks(MAX_ENTRIES))
            .map(|chunk| self.ask(now, chunk))
            .collect();
        Outgoing { asks, returns }
    }

    /// Returns the tokens of older loans that are not needed, to each holder in proportion to what it lent.
    fn release(&mut self, now: Time, loan_time: Duration) -> Vec<(NodeId, Return)> {
        let age = loan_time.mul_f64(RETURN_PART);
        let due = self
            .sent
            .iter_mut()
            .filter(|sent| !sent.is_released && now.since(sent.sent) >= age);
        let mut returns = Vec::new();
        for sent in due {
            sent.is_released = true;
            let mut borrowed: HashMap<u64, f64> = HashMap::new();
            for entry in sent.grants.values().flat_map(|grant| &grant.entries) {
                *borrowed.entry(entry.account).or_default() += f64::from(entry.tokens);
            }
            let mut parts = HashMap::new();
            for (id, tokens) in borrowed {
                if let Some(budget) = self.budgets.get_mut(&id) {
                    budget.refresh(now);
                    let unneeded = budget.release(now, sent.sent + loan_time);
                    parts.insert(id, unneeded / tokens);
                }
            }
            for (node, grant) in sent.grants.drain() {
                let entries = grant.entries.iter().filter_map(|entry| {
                    // Rounding up would create tokens.
                    let part = parts.get(&entry.account)? * (1.0 - 1e-6);
                    let tokens = (f64::from(entry.tokens) * part) as f32;
                    (tokens > 0.0).then_some(GrantEntry { tokens, ..*entry })
                });
                let entries: Vec<_> = entries.collect();
                let lent = grant.lent;
                if !entries.is_empty() {
                    returns.push((node, Return { lent, entries }));
                }
            }
        }
        returns
    }

    fn next_stamp(&mut self, now: Time) -> u64 {
        self.last_stamp = now.0.max(self.last_stamp + 1);
        self.last_stamp
    }

    fn ask(&mut self, now: Time, needs: &[Need]) -> OutgoingAsk {
        let Need { among, asked, .. } = needs[0];
        let stamp = self.next_stamp(now);
        self.sent.push_back(SentAsk {
            stamp,
            sent: now,
            grants: HashMap::new(),
            is_released: false,
        });
        let entries = needs.iter().filter_map(|need| {
            let budget = self.budgets.get_mut(&need.id)?;
            let tokens = need.tokens * ASK_MARGIN / asked as f64;
            Some(budget.ask(now, need.id, tokens))
        });
        let ask = Ask {
            stamp,
            deep: false,
            entries: entries.collect(),
        };
        OutgoingAsk { ask, among, asked }
    }

    /// Handles a message of another node. Returns the response to it.
    pub fn record_report(&mut self, now: Time, node: &NodeId, report: &Report) -> Option<Report> {
        self.check_pause(now);
        match report {
            Report::Ask(ask) => self.lend(now, node, ask),
            Report::Grant(grant) => {
                self.borrow(now, node, grant);
                None
            }
            Report::Return(returned) => {
                self.take_back(now, node, returned);
                None
            }
        }
    }

    fn lend(&mut self, now: Time, node: &NodeId, ask: &Ask) -> Option<Report> {
        let bounds = self.bounds;
        let mut entries = Vec::new();
        for entry in &ask.entries {
            let Some(limit) = entry.limit().filter(|limit| limit.per_s > 0.0) else {
                continue;
            };
            let share = self.fleet.share(bounds.holders(limit));
            let Some(budget) = self.budget(now, entry.account, limit) else {
                continue;
            };
            if budget.limit() != limit && budget.takes_reported_limit(now, limit) {
                budget.set_limit(now, limit, &bounds, share);
            }
            budget.refresh(now);
            let tokens = budget.lend(now, node, entry, ask.deep);
            if tokens > 0.0 {
                entries.push(GrantEntry {
                    account: entry.account,
                    tokens: tokens as f32,
                });
            }
        }
        let loan_time = bounds.loan_time();
        self.lent.retain(|lent| now.since(lent.at) < loan_time);
        if entries.is_empty() {
            return None;
        }
        let lent = self.next_stamp(now);
        self.lent.push_back(Lent {
            stamp: lent,
            at: now,
            node: node.clone(),
            entries: entries.clone(),
        });
        Some(Report::Grant(Grant {
            stamp: ask.stamp,
            lent,
            entries,
        }))
    }

    /// Adds returned tokens to the buckets that they were lent from, once for each message that lent some.
    fn take_back(&mut self, now: Time, node: &NodeId, returned: &Return) {
        let loan_time = self.bounds.loan_time();
        let is_meant = |lent: &Lent| lent.stamp == returned.lent && lent.node == *node;
        let Some(lent) = self.lent.iter().position(is_meant) else {
            return;
        };
        let Some(lent) = self.lent.remove(lent) else {
            return;
        };
        if now.since(lent.at) >= loan_time {
            return;
        }
        for entry in &returned.entries {
            let own = lent.entries.iter().find(|own| own.account == entry.account);
            let Some(own) = own.filter(|_| entry.tokens > 0.0) else {
                continue;
            };
            if let Some(budget) = self.budgets.get_mut(&entry.account) {
                budget.refresh(now);
                budget.take_back(entry.tokens.min(own.tokens).into());
            }
        }
    }

    /// Adds lent tokens, once for each message and holder, while those who lent them count them as lent.
    fn borrow(&mut self, now: Time, node: &NodeId, grant: &Grant) {
        let loan_time = self.bounds.loan_time();
        let sent = self.sent.iter_mut().find(|sent| sent.stamp == grant.stamp);
        let Some(sent) = sent.filter(|sent| now.since(sent.sent) < loan_time) else {
            return;
        };
        if sent.grants.contains_key(node) {
            return;
        }
        sent.grants.insert(node.clone(), grant.clone());
        let (asked_at, expires) = (sent.sent, sent.sent + loan_time);
        for entry in &grant.entries {
            let tokens = f64::from(entry.tokens);
            if let Some(budget) = self.budgets.get_mut(&entry.account)
                && tokens.is_finite()
                && tokens > 0.0
            {
                budget.refresh(now);
                budget.borrow(asked_at, expires, tokens);
            }
        }
    }

    /// Returns the budget of an account, `None` if there are too many.
    fn budget(&mut self, now: Time, id: u64, limit: RateLimit) -> Option<&mut Budget> {
        if self.budgets.len() >= MAX_ACCOUNTS && !self.budgets.contains_key(&id) {
            return None;
        }
        let bounds = &self.bounds;
        let share = self.fleet.share(bounds.holders(limit));
        let since = self.fleet.held_since();
        Some(
            self.budgets
                .entry(id)
                .or_insert_with(|| Budget::new(now, limit, bounds, share, since)),
        )
    }

    /// Loses all tokens and the share after a pause in which others may have taken over the share.
    fn check_pause(&mut self, now: Time) {
        if self.fleet.is_outdated(now) {
            self.fleet.reset(now);
            self.apply_share(now);
            self.budgets
                .values_mut()
                .for_each(|budget| budget.clear(now));
        }
    }

    fn apply_share(&mut self, now: Time) {
        let bounds = self.bounds;
        for budget in self.budgets.values_mut() {
            let limit = budget.limit();
            let share = self.fleet.share(bounds.holders(limit));
            budget.set_limit(now, limit, &bounds, share);
        }
    }
}
