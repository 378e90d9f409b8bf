use std::time::Duration;

use smallvec::SmallVec;

use super::{AskEntry, QuotaBounds, demand::Demand};
use crate::core::{NodeId, Time, account::RateLimit};

/// Time ahead for which a node has tokens for its own demand: an ask interval. For longer, many would expire before they
/// are used.
const LEAD_TIME: f64 = 0.2;
/// Standard deviations of the demand within that time which the tokens cover.
const TARGET_DEVIATIONS: f64 = 1.5;
/// Part of the capacity above which a node's own tokens are used before borrowed ones.
const MAX_IDLE_PART: f64 = 0.5;
/// Time ahead below which a node asks at once.
const URGENT_TIME: f64 = 0.1;
/// Number of expected requests within a loan time from which a node without a share keeps a whole token. For fewer, most
/// such tokens would expire unused.
const MIN_EXPECTED: f64 = 0.25;
/// Rate of requests from which a node may get the tokens that a holder keeps for its own callers. Otherwise, idle holders
/// would pass the same tokens on to each other.
const MIN_ACTIVE: f64 = 0.2;
/// Bounds of the delay between two messages that ask for tokens of an account. It doubles while the holders have few.
const MIN_ASK_DELAY: Duration = Duration::from_millis(25);
const MAX_ASK_DELAY: Duration = Duration::from_millis(200);
/// Time for which a node's demand counts after its last message.
const PEER_TTL: Duration = Duration::from_secs(3);
/// Time for which what a node asked for competes with what others ask for.
const ASK_TTL: Duration = Duration::from_millis(200);
/// Maximum number of nodes whose demand is remembered for an account.
const MAX_PEERS: usize = 64;
/// Time for which a limit from this node's own configuration has precedence over one in a message.
const LIMIT_TTL: Duration = Duration::from_secs(10);
/// Time without requests and messages after which a full bucket is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// Smallest number of tokens that is lent.
const MIN_LOAN: f64 = 1e-3;
/// Minimum time after which a rejected caller should retry. Tokens of other holders arrive within milliseconds.
const MIN_RETRY: f64 = 0.05;
/// Maximum time, unless a single token takes longer.
const MAX_RETRY: f64 = 30.0;
/// Part of the time by which it is extended at most, so that callers do not return together.
const RETRY_SPREAD: f64 = 0.25;

/// Tokens that other nodes have lent.
#[derive(Clone, Copy, Debug)]
struct Loan {
    expires: Time,
    tokens: f64,
}

/// What another node last reported.
#[derive(Clone, Debug)]
struct Peer {
    node: NodeId,
    at: Time,
    demand: f64,
    asked: f64,
}

/// One account at this node.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    limit: RateLimit,
    /// When the limit was last taken from this node's configuration.
    limit_at: Option<Time>,
    /// Maximum of the tokens of its own, and their number.
    capacity: f64,
    own: f64,
    rate: f64,
    refilled: Time,
    loans: SmallVec<[Loan; 4]>,
    demand: Demand,
    peers: SmallVec<[Peer; 1]>,
    used: Time,
    ask_at: Time,
    ask_delay: Duration,
    /// Tokens that are missing for the steady demand; those of them asked for; and what was received since.
    missing: f64,
    asked: f64,
    received: f64,
    /// Whether a request was rejected since the last message that asked for tokens.
    is_short: bool,
    /// Time until which the expected tokens are promised to rejected callers.
    promised: Time,
    /// When the limit was last lowered.
    lowered: Option<Time>,
    /// Position in the sequence that spreads rejected callers.
    spread: f64,
}

impl Budget {
    /// Creates the budget of an account that this node has not yet admitted requests of since `held_since`.
    pub(super) fn new(
        now: Time,
        limit: RateLimit,
        bounds: &QuotaBounds,
        share: f64,
        held_since: Option<Time>,
    ) -> Self {
        let held = held_since.map_or(Duration::ZERO, |since| now.since(since));
        let (capacity, rate) = (bounds.stock(limit) * share, bounds.refill(limit) * share);
        Self {
            limit,
            limit_at: None,
            capacity,
            own: capacity.min(rate * held.as_secs_f64()),
            rate,
            refilled: now,
            loans: SmallVec::new(),
            demand: Demand::default(),
            peers: SmallVec::new(),
            used: now,
            ask_at: now,
            ask_delay: MIN_ASK_DELAY,
            missing: 0.0,
            asked: 0.0,
            received: 0.0,
            is_short: false,
            promised: now,
            lowered: None,
            spread: 0.0,
        }
    }

    pub(super) fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns this node's part of the refill, tokens per second.
    pub(super) fn refill_rate(&self) -> f64 {
        self.rate
    }

    /// Returns the number of tokens.
    pub(super) fn tokens(&self) -> f64 {
        self.own + self.loans.iter().map(|loan| loan.tokens).sum::<f64>()
    }

    /// Refills the bucket and ends loans that have expired.
    pub(super) fn refresh(&mut self, now: Time) {
        let added = now.since(self.refilled).as_secs_f64() * self.rate;
        self.refilled = now;
        let expired = self.loans.iter().filter(|loan| loan.expires <= now);
        // An unused token stays where there is room for one of the node's own.
        let unused: f64 = expired.map(|loan| loan.tokens).sum();
        self.loans.retain(|loan| loan.expires > now);
        self.own = (self.own + added + unused).min(self.capacity);
    }

    /// Applies a limit and a share. Tokens beyond the new capacity are lost.
    pub(super) fn set_limit(
        &mut self,
        now: Time,
        limit: RateLimit,
        bounds: &QuotaBounds,
        share: f64,
    ) {
        self.refresh(now);
        if limit.per_s < self.limit.per_s || limit.burst < self.limit.burst {
            // What was lent under a higher limit would exceed the bound of the new one.
            self.loans.clear();
            self.lowered = Some(now);
        }
        self.limit = limit;
        self.capacity = bounds.stock(limit) * share;
        self.rate = bounds.refill(limit) * share;
        self.own = self.own.min(self.capacity);
    }

    /// Records that the limit comes from this node's configuration.
    pub(super) fn confirm_limit(&mut self, now: Time) {
        self.limit_at = Some(now);
    }

    /// Returns whether a limit in a message has precedence.
    ///
    /// A lower limit always has: this node may not have its configuration yet, and must not lend more tokens.
    pub(super) fn takes_reported_limit(&self, now: Time, limit: RateLimit) -> bool {
        let is_lower = limit.per_s < self.limit.per_s || limit.burst < self.limit.burst;
        is_lower || self.limit_at.is_none_or(|at| now.since(at) >= LIMIT_TTL)
    }

    /// Loses all tokens.
    pub(super) fn clear(&mut self, now: Time) {
        self.own = 0.0;
        self.loans.clear();
        self.refilled = now;
    }

    /// Returns whether the budget says no more than a new one would.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        now.since(self.used) >= IDLE_TIME && self.own >= self.capacity && self.loans.is_empty()
    }

    /// Takes a token for a request. Returns whether there was one. The budget must be fresh.
    pub(super) fn take(&mut self, now: Time) -> bool {
        self.demand.record(now);
        self.used = now;
        if self.tokens() < 1.0 {
            self.is_short = true;
            return false;
        }
        let mut left = 1.0;
        // Borrowed tokens first, since they expire, but not while the refill of the node's own may overflow.
        let surplus = (self.own - self.capacity * MAX_IDLE_PART).clamp(0.0, left);
        self.own -= surplus;
        left -= surplus;
        for loan in &mut self.loans {
            let taken = loan.tokens.min(left);
            loan.tokens -= taken;
            left -= taken;
        }
        self.loans.retain(|loan| loan.tokens > 0.0);
        self.own = (self.own - left).max(0.0);
        true
    }

    /// Returns the token of a request that did not run. The budget must be fresh.
    pub(super) fn give_back(&mut self) {
        match self.loans.last_mut() {
            Some(loan) if self.own + 1.0 > self.capacity => loan.tokens += 1.0,
            _ => self.own = (self.own + 1.0).min(self.capacity),
        }
    }

    /// Returns the demand at the other nodes, requests per second.
    pub(super) fn peer_demand(&self, now: Time) -> f64 {
        let recent = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.at) < PEER_TTL);
        recent.map(|peer| peer.demand).sum()
    }

    /// Returns the time after which a request that was just rejected should be repeated.
    ///
    /// Each rejected caller is promised one of the tokens that are expected. Holders without demand lend theirs, so that
    /// this node can expect its part of the known demand, at least what it refills itself.
    pub(super) fn retry_after(&mut self, now: Time, bounds: &QuotaBounds) -> Duration {
        let supply = self
            .rate
            .max(bounds.refill(self.limit) * self.demand_part(now));
        let token_time = (1.0 / supply.max(1e-6)).min(3_600.0);
        let latest = now + Duration::from_secs_f64(token_time.max(MAX_RETRY));
        let next = self.promised.max(now) + Duration::from_secs_f64(token_time);
        self.promised = next.min(latest);
        // Consecutive multiples of the golden ratio spread evenly over any number of callers.
        self.spread = (self.spread + 0.618_033_988_75).fract();
        let wait = self.promised.since(now).as_secs_f64().max(MIN_RETRY);
        Duration::from_secs_f64(wait * (1.0 + RETRY_SPREAD * self.spread))
    }

    /// Returns this node's part of the known demand, from 0 to 1.
    fn demand_part(&self, now: Time) -> f64 {
        let demand = self.demand.rate(now);
        demand / (demand + self.peer_demand(now)).max(f64::MIN_POSITIVE)
    }

    /// Returns the number of tokens that the node should have, and that of further ones for a burst.
    fn target(&self, now: Time, loan_time: Duration) -> (f64, f64) {
        let demand = self.demand.rate(now);
        let ahead = demand * LEAD_TIME;
        // Tokens that the node refills itself need not be borrowed, or its bucket overflows.
        let refilled = self.rate * LEAD_TIME;
        let steady = (ahead - refilled).max(0.0) + TARGET_DEVIATIONS * ahead.sqrt();
        if demand * loan_time.as_secs_f64() < MIN_EXPECTED {
            let keeps_one = self.capacity >= 1.0 || self.is_short;
            return (steady.max(if keeps_one { 1.0 } else { 0.0 }), 0.0);
        }
        // The demand may be at few nodes or at all: where it is, requests are likely to follow each other before a message
        // and its response.
        let part = self.demand_part(now);
        (steady.max(1.0 + part), self.limit.burst * part)
    }

    /// Returns whether the node should ask for tokens without waiting for the next interval.
    pub(super) fn is_urgent(&self, now: Time) -> bool {
        let low = (self.demand.rate(now) * URGENT_TIME).max(1.0);
        now >= self.ask_at && self.tokens() < low
    }

    /// Returns the number of tokens to ask for, and their part of what the holders may have; `None` if the node needs none.
    /// The budget must be fresh.
    pub(super) fn need(&mut self, now: Time, loan_time: Duration) -> Option<(f64, f64)> {
        let (steady, burst) = self.target(now, loan_time);
        let missing = steady + burst - self.tokens();
        self.missing = (steady - self.tokens()).max(0.0);
        let is_due = now >= self.ask_at && missing > MIN_LOAN && !loan_time.is_zero();
        let part = (self.demand.rate(now) + missing) / (self.limit.per_s + self.limit.burst);
        is_due.then_some((missing, part))
    }

    /// Returns what a message asks each of some holders for, `tokens` from each.
    pub(super) fn ask(&mut self, now: Time, account: u64, tokens: f64) -> AskEntry {
        let was_met = self.received * 2.0 >= self.asked;
        self.ask_delay = if was_met {
            MIN_ASK_DELAY
        } else {
            (self.ask_delay * 2).min(MAX_ASK_DELAY)
        };
        self.ask_at = now + self.ask_delay;
        (self.asked, self.received) = (self.missing, 0.0);
        let is_active = self.is_short || self.demand.rate(now) >= MIN_ACTIVE;
        self.is_short = false;
        AskEntry {
            account,
            per_s: self.limit.per_s,
            burst: self.limit.burst,
            demand: self.demand.rate(now) as f32,
            tokens: tokens as f32,
            missing: if is_active {
                (1.0 - self.tokens()).max(0.0) as f32
            } else {
                0.0
            },
        }
    }

    /// Lends tokens to a node that asks for them. Returns their number. The budget must be fresh.
    pub(super) fn lend(&mut self, now: Time, node: &NodeId, entry: &AskEntry, deep: bool) -> f64 {
        self.used = now;
        let deep = deep && entry.missing > 0.0;
        let missing = if deep { entry.missing } else { 0.0 };
        let asked = f64::from(entry.tokens.max(missing));
        let demand = f64::from(entry.demand);
        self.peers
            .retain(|peer| now.since(peer.at) < PEER_TTL && peer.node != *node);
        let rivals = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.at) < ASK_TTL);
        let (rival_demand, rival_asks) = rivals.fold((0.0, 0.0), |(demand, asked), peer| {
            (demand + peer.demand, asked + peer.asked)
        });
        if self.peers.len() < MAX_PEERS {
            self.peers.push(Peer {
                node: node.clone(),
                at: now,
                demand,
                asked,
            });
        }
        // A whole token stays for the first request of a caller that moves here.
        let first = if self.capacity >= 1.0 && !deep {
            1.0
        } else {
            0.0
        };
        let kept = (self.demand.rate(now) * LEAD_TIME).max(first);
        let spare = (self.own - kept).max(0.0);
        let part = demand / (demand + rival_demand).max(f64::MIN_POSITIVE);
        // To `f32`, as sent: rounding up would create tokens.
        let tokens = asked.min((spare * part).max(spare - rival_asks));
        let tokens = f64::from((tokens * (1.0 - 1e-6)) as f32);
        if tokens < MIN_LOAN {
            return 0.0;
        }
        self.own -= tokens;
        tokens
    }

    /// Adds tokens that were asked for at `sent`.
    pub(super) fn borrow(&mut self, sent: Time, expires: Time, tokens: f64) {
        if self.lowered.is_some_and(|at| sent <= at) {
            return;
        }
        self.received += tokens;
        match self.loans.iter_mut().find(|loan| loan.expires == expires) {
            Some(loan) => loan.tokens += tokens,
            None => self.loans.push(Loan { expires, tokens }),
        }
    }

    /// Takes the tokens of a loan that are not needed, to return them. The budget must be fresh.
    pub(super) fn release(&mut self, now: Time, expires: Time) -> f64 {
        // What is used before the loan expires.
        let needed = self.demand.rate(now) * expires.since(now).as_secs_f64();
        let tokens = self.tokens();
        let Some(loan) = self.loans.iter_mut().find(|loan| loan.expires == expires) else {
            return 0.0;
        };
        let room = (self.capacity - self.own).clamp(0.0, loan.tokens);
        self.own += room;
        loan.tokens -= room;
        let unneeded = (tokens - needed).clamp(0.0, loan.tokens);
        loan.tokens -= unneeded;
        unneeded
    }

    /// Adds tokens of its own that another node returns.
    pub(super) fn take_back(&mut self, tokens: f64) {
        self.own = (self.own + tokens).min(self.capacity);
    }

    /// Returns the rate of requests at this node.
    pub(super) fn demand(&self, now: Time) -> f64 {
        self.demand.rate(now)
    }
}
