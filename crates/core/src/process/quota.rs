//! Rate limit of a workspace, enforced by all hosts together without a coordinator.
//!
//! Load pattern: one workspace sends many times its rate to all hosts at once, while hosts are
//! partitioned, killed and replaced. Each host keeps a token bucket of the whole contract and takes
//! from it the requests that it admits itself and those that the other hosts report. Between two
//! reports it assumes that another host admits all its requests while there are tokens, and its
//! part of the rate in proportion to its demand while there are none. Otherwise all hosts together
//! would exceed the contract by what they admit during the delay of the reports.
//!
//! Two rules keep hosts within the contract that are cut off from one another, before they can
//! know it. A host admits no more than its own part of the tokens until most hosts have received
//! the counts. And the part of a host of which a message is missing is set aside until it is heard
//! again or counts as gone. Parts follow the demand that all hosts know of.

mod others;
mod own;
mod remote;

pub use own::{Count, Report};

use crate::process::presence::Reach;
use azurenotch_wire::{id::Host, time::Instant};
use others::Others;
use own::Own;
use remote::Requests;
use std::{collections::VecDeque, time::Duration};

/// Time constant of the moving average of the demand at a host, in seconds.
const DEMAND_TIME_CONSTANT_S: f64 = 0.8;
/// Time constant of the moving average of the demand by which tokens are divided, in seconds.
///
/// Longer than that of the demand, so that the part of a host with few requests varies little.
const PART_TIME_CONSTANT_S: f64 = 3.0;
/// Longest time for which a report is extrapolated.
const MAX_EXTRAPOLATION: Duration = Duration::from_secs(2);
/// Tokens of a host that starts while others may have used the burst, in seconds of the rate.
const RESTART_TOKENS_S: f64 = 0.25;
/// Tokens of hosts that all start together, as a share of the requests of [`WITHHELD_TIME`].
///
/// A window may exceed a contract by a tenth. If the burst was used just before, as no host knows,
/// this is what comes in addition.
const COMMON_START_SHARE: f64 = 0.1;
/// Demand that all hosts together count as having in addition, as a share of the rate.
///
/// It divides the tokens equally while little is asked, and keeps a part for hosts without requests.
const EQUAL_DEMAND: f64 = 0.4;
/// Requests that a host may admit beyond its part before most hosts have received its counts.
const UNCONFIRMED_SLACK: f64 = 3.0;
/// Multiple of the standard deviation of its usual requests that a host may admit in addition.
///
/// Requests arrive independently of each other, so their number in a short time varies by its root.
const UNCONFIRMED_DEVIATIONS: f64 = 3.0;
/// Longest time for which usual requests vary; counts are usually confirmed sooner.
const MAX_DEVIATION_TIME: Duration = Duration::from_secs(1);
/// Share of the tokens that counts for a host's part before most hosts have received its counts.
///
/// The other hosts may use all tokens before they miss a message, so the rest makes up for that.
const UNCONFIRMED_TOKEN_SHARE: f64 = 0.2;
/// Longest time for which a host's part of the rate is added up without a confirmation.
///
/// The other hosts use that part themselves after [`Presence::remove_expired`].
///
/// [`Presence::remove_expired`]: crate::process::presence::Presence::remove_expired
const MAX_UNCONFIRMED_TIME: Duration = Duration::from_secs(8);
/// Sent counts that are remembered until most hosts have received them.
const MAX_ROUNDS: usize = 8;
/// Time for which tokens that were used under a former contract count against a larger burst.
///
/// The window in which a contract is judged. A limit that has been in force for so long has kept
/// the requests of a window low enough for the whole difference.
const WITHHELD_TIME: Duration = Duration::from_secs(5);
/// Time for which the bucket of a workspace without a contract is kept.
///
/// Longer than a host is kept that is not heard of, so that no host compares the counts of a new
/// bucket with those of a former one.
const KEPT_TIME: Duration = Duration::from_mins(2);
/// Shortest wait that is asked of a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest wait that is asked of a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Rate limit in the contract of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Contract {
    /// Requests per second; no limit if it is not positive.
    pub rate: f64,
    /// Requests that may be admitted at once above the rate.
    pub burst: f64,
}

impl Contract {
    /// No limit.
    const NONE: Self = Self {
        rate: 0.0,
        burst: 0.0,
    };
}

/// Token bucket of one workspace at one host.
#[derive(Debug, Clone)]
pub struct Quota {
    contract: Contract,
    tokens: f64,
    /// Tokens at the start; `None` if these are settled.
    start_tokens: Option<f64>,
    withheld: Withheld,
    /// When the workspace lost its contract; `None` if it has one.
    ended: Option<Instant>,
    updated: Instant,
    own: Own,
    others: Others,
    /// Number of all hosts, this one included.
    hosts: usize,
    /// Parts of all silent hosts together, from 0 to 1.
    silent_part: f64,
    /// Silent hosts that never reported requests of the workspace.
    unheard: Unheard,
    /// Counts that were sent and that most hosts may not have received yet, oldest first.
    rounds: VecDeque<Round>,
    /// Newest counts that most hosts have received.
    confirmed: Round,
    /// Long-term average rate of requests at this host as of the confirmed counts, per second.
    confirmed_demand: f64,
    /// Part of the tokens, from 0 to 1, that this host may use without a confirmation.
    own_part: f64,
}

/// Used tokens that the bucket does not lack, since its burst is smaller than what was used.
#[derive(Debug, Clone, Copy, Default)]
struct Withheld {
    tokens: f64,
    /// When tokens were withheld last.
    at: Instant,
}

/// What is set aside for silent hosts that never reported requests of the workspace.
///
/// One value for all of them: an entry for each host and workspace would take megabytes in a large
/// system, where messages of some hosts are always missing.
#[derive(Debug, Clone, Copy, Default)]
struct Unheard {
    /// Their part of the tokens and the rate.
    part: f64,
    /// Tokens that they may have used.
    assumed: f64,
}

/// State of the bucket when its counts were sent to the other hosts.
#[derive(Debug, Clone, Copy)]
struct Round {
    sent: Instant,
    count: Count,
    tokens: f64,
}

impl Quota {
    /// Creates the bucket of a workspace.
    ///
    /// It is full only if `is_first`, which means that no host can have admitted a request before.
    pub fn new(now: Instant, contract: Contract, is_first: bool) -> Self {
        let start = if is_first {
            contract.burst
        } else {
            contract.burst.min(contract.rate * RESTART_TOKENS_S)
        };
        Self {
            contract,
            tokens: start,
            start_tokens: (!is_first).then_some(start),
            withheld: Withheld::default(),
            ended: None,
            updated: now,
            own: Own::new(now),
            others: Others::new(now),
            hosts: 1,
            silent_part: 0.0,
            unheard: Unheard::default(),
            rounds: VecDeque::new(),
            confirmed: Round {
                sent: now,
                count: Count::default(),
                tokens: start,
            },
            confirmed_demand: 0.0,
            own_part: 1.0,
        }
    }

    /// Replaces the contract and keeps what was used.
    ///
    /// A larger burst adds the difference, less what was used of a former burst and is withheld. A
    /// smaller burst keeps as many tokens as fit, so that a workspace that used a large burst is not
    /// refused any longer for it; what it used beyond the smaller burst is withheld.
    pub fn set_contract(&mut self, now: Instant, contract: Contract) {
        self.refill(now);
        let former = self.tokens;
        let used = self.contract.burst - former + self.withheld_tokens(now);
        self.ended = None;
        self.contract = contract;
        let least = former.clamp(self.min_tokens(), contract.burst);
        self.tokens = (contract.burst - used).max(least);
        self.withheld.tokens = 0.0;
        self.withhold(now, used - (contract.burst - self.tokens));
        let added = (self.tokens - former).max(0.0);
        self.tokens -= self.others.share(added);
        self.unheard.assumed += self.unheard.part * added;
        self.tokens -= self.unheard.part * added;
        self.tokens = self.tokens.min(self.max_tokens());
        let rounds = self.rounds.iter_mut().chain([&mut self.confirmed]);
        for round in rounds {
            round.tokens = round.tokens.min(contract.burst);
        }
    }

    /// Records that the workspace has no contract any more, so that nothing is refused.
    pub fn end_contract(&mut self, now: Instant) {
        if self.ended.is_none() {
            self.set_contract(now, Contract::NONE);
            self.ended = Some(now);
        }
    }

    /// Returns whether the bucket has to be kept for a contract that comes or comes back.
    pub fn is_kept(&self, now: Instant) -> bool {
        self.ended.is_none_or(|ended| now.since(ended) < KEPT_TIME)
    }

    /// Records that the counts are sent to all other hosts.
    pub fn on_sent(&mut self, now: Instant) {
        self.refill(now);
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            sent: now,
            count: self.own.count,
            tokens: self.tokens,
        });
    }

    /// Takes in which hosts are silent and which of the sent counts most hosts have received.
    pub fn on_reach(&mut self, now: Instant, reach: &Reach) {
        self.refill(now);
        self.hosts = reach.hosts.max(1);
        if let Some(sent) = reach.confirmed {
            self.confirm(sent);
        }
        // A report has already returned these tokens, unless a host has none to send.
        self.tokens += self.others.hear_again(&reach.silent);
        let mut unheard = 0;
        for host in &reach.silent {
            if !self.set_aside(host) {
                unheard += 1;
            }
        }
        self.set_aside_unheard(unheard);
        self.silent_part = (self.others.silent_part() + self.unheard.part).min(1.0);
        self.own_part = self.part(self.confirmed_demand, self.known_demand());
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Takes in that all hosts have started together, so that none admits by what it knew before.
    ///
    /// Adds tokens once to the few that a restarted host has.
    pub fn on_common_start(&mut self, now: Instant) {
        let Some(start) = self.start_tokens.take() else {
            return;
        };
        self.refill(now);
        let Contract { rate, burst } = self.contract;
        let tokens = COMMON_START_SHARE * (WITHHELD_TIME.as_secs_f64() * rate + burst);
        self.tokens = (self.tokens + (tokens - start).max(0.0)).min(self.max_tokens());
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns how long the caller has to wait for a token, from `MIN_RETRY_AFTER` to
    /// `MAX_RETRY_AFTER`.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        self.own.ask(now);
        if self.contract.rate <= 0.0 {
            return Ok(());
        }
        let lacking = (1.0 - self.tokens).max(self.unconfirmed_lack(now));
        if lacking <= 0.0 {
            self.tokens -= 1.0;
            self.own.count.admitted += 1;
            return Ok(());
        }
        let rate = (self.contract.rate * (1.0 - self.silent_part)).max(f64::MIN_POSITIVE);
        let wait = (lacking / rate).min(MAX_RETRY_AFTER.as_secs_f64());
        Err(Duration::from_secs_f64(wait).max(MIN_RETRY_AFTER))
    }

    /// Puts a token back whose request was admitted but never ran.
    pub fn refund(&mut self) {
        // Without a limit, requests take no tokens.
        if self.contract.rate <= 0.0 {
            return;
        }
        self.tokens = (self.tokens + 1.0).min(self.contract.burst);
        self.own.count.admitted = self.own.count.admitted.saturating_sub(1);
    }

    /// Returns the requests at this host since the start of the process.
    pub fn count(&self) -> Count {
        self.own.count
    }

    /// Returns the report to send; `None` unless requests arrived recently.
    ///
    /// It has the count from before recent activity if another host may have no earlier report: at
    /// the first activity, or if one has joined since the last activity, at `joined`. Such a host
    /// would otherwise not know which of the requests are new.
    pub fn report(&self, now: Instant, joined: Option<Instant>) -> Option<Report> {
        self.own.report(now, joined)
    }

    /// Returns the tokens that are left.
    pub fn tokens(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Records the counts that another host reported since its start, one of those of a [`Report`].
    pub fn on_report(&mut self, now: Instant, host: &Host, incarnation: u64, count: Count) {
        self.refill(now);
        let added = self.others.report(now, host, incarnation, count);
        self.tokens = (self.tokens + added).min(self.contract.burst);
    }

    /// Drops the reports of a host that is gone.
    pub fn forget(&mut self, host: &Host) {
        self.others.forget(host);
    }

    /// Returns how many tokens the next request exceeds this host's part by; not positive if none.
    ///
    /// Counts what was admitted since the counts that most hosts have received. The part includes
    /// the rate since then.
    fn unconfirmed_lack(&self, now: Instant) -> f64 {
        if self.hosts == 1 {
            return 0.0;
        }
        let Round {
            sent,
            count,
            tokens,
        } = self.confirmed;
        let elapsed = now.since(sent);
        let usual = self.confirmed_demand * elapsed.min(MAX_DEVIATION_TIME).as_secs_f64();
        let elapsed = elapsed.min(MAX_UNCONFIRMED_TIME).as_secs_f64();
        let pool = UNCONFIRMED_TOKEN_SHARE * tokens.max(0.0) + self.contract.rate * elapsed;
        let part = pool * self.own_part;
        // Requests beyond the part are refused in any case. Their variation is no reason to admit
        // more: each host of a workspace with many times its rate would use the tokens of all.
        let slack = UNCONFIRMED_SLACK + UNCONFIRMED_DEVIATIONS * usual.min(part).sqrt();
        let unconfirmed = self.own.count.admitted as f64 - count.admitted as f64;
        unconfirmed + 1.0 - (part + slack)
    }

    /// Returns the demand at all hosts, this one's as far as most others know it.
    fn known_demand(&self) -> f64 {
        self.confirmed_demand + self.others.usual_demand()
    }

    /// Records that most hosts have received the counts that were sent at `sent`.
    fn confirm(&mut self, sent: Instant) {
        // Echoes have whole milliseconds.
        let end = sent + Duration::from_millis(1);
        while let Some(round) = self.rounds.pop_front_if(|round| round.sent < end) {
            let requests = Requests {
                elapsed: round.sent.since(self.confirmed.sent),
                before: self.confirmed.count,
                after: round.count,
            };
            self.confirmed_demand = requests.average(self.confirmed_demand, PART_TIME_CONSTANT_S);
            self.confirmed = round;
        }
    }

    /// Sets the part of a silent host aside; returns `false` if the host never reported requests.
    fn set_aside(&mut self, host: &Host) -> bool {
        let Some(usual_demand) = self.others.usual_demand_at(host) else {
            return false;
        };
        if !self.others.is_silent(host) {
            let part = self.part(usual_demand, self.known_demand());
            self.tokens -= self.others.set_aside(host, part, self.tokens);
        }
        true
    }

    /// Sets the parts of `hosts` silent hosts aside that never reported requests.
    fn set_aside_unheard(&mut self, hosts: usize) {
        let part = hosts as f64 * self.part(0.0, self.known_demand());
        let former = self.unheard;
        let moved = if part > former.part {
            (part - former.part) * self.tokens.max(0.0)
        } else if former.part > 0.0 {
            -former.assumed * (former.part - part) / former.part
        } else {
            0.0
        };
        self.tokens -= moved;
        self.unheard = Unheard {
            part,
            assumed: former.assumed + moved,
        };
    }

    /// Returns the part, from 0 to 1, of a host with `demand` of `total` at all hosts.
    fn part(&self, demand: f64, total: f64) -> f64 {
        let hosts = self.hosts as f64;
        let equal = (EQUAL_DEMAND * self.contract.rate).max(f64::MIN_POSITIVE);
        (demand + equal / hosts) / (total + equal)
    }

    /// Returns the used tokens that count against a larger burst.
    fn withheld_tokens(&self, now: Instant) -> f64 {
        let Withheld { tokens, at } = self.withheld;
        if now.since(at) < WITHHELD_TIME {
            tokens
        } else {
            0.0
        }
    }

    /// Remembers used tokens that the bucket does not lack; none if `tokens` is not positive.
    fn withhold(&mut self, now: Instant, tokens: f64) {
        if tokens > 0.0 {
            self.withheld = Withheld {
                tokens: self.withheld_tokens(now) + tokens,
                at: now,
            };
        }
    }

    /// Returns the smallest number of tokens, however many requests the other hosts admitted.
    fn min_tokens(&self) -> f64 {
        -self.contract.burst - self.contract.rate
    }

    /// Returns the largest number of tokens of this host and those that it hears.
    fn max_tokens(&self) -> f64 {
        self.contract.burst * (1.0 - self.silent_part)
    }

    fn refill(&mut self, now: Instant) {
        let from = self.updated;
        if now.since(from).is_zero() {
            return;
        }
        self.updated = now;
        let rate = self.contract.rate;
        let elapsed = now.since(from).as_secs_f64();
        let free_rate = rate * (1.0 - self.silent_part);
        let total = self.own.demand + self.others.heard_demand();
        // Without tokens the hosts share the rate in proportion to their demand.
        let admitted = if self.tokens >= 1.0 {
            1.0
        } else {
            (free_rate / total.max(f64::MIN_POSITIVE)).min(1.0)
        };
        let mut gained = elapsed * rate - self.others.advance(now, admitted, rate);
        let taken = elapsed * rate * self.unheard.part;
        self.unheard.assumed += taken;
        gained -= taken;
        let (tokens, least) = (self.tokens + gained, self.min_tokens());
        self.withhold(now, least - tokens);
        self.tokens = tokens.clamp(least, self.max_tokens());
    }
}

#[cfg(test)]
mod tests;
