//! The entry's side: what was granted, what is spent, and who waits.
//!
//! A request that fits into the grants held is admitted without a message. One
//! that does not waits while the owner is asked for the exact amount; only the
//! owner can refuse it, because only the owner knows where the tokens are.

use std::{collections, mem, time};

use super::{
    Ask, GrantId, Reply, SPEND_TTL, Usage,
    share::{Basis, Share},
};

/// How long a request waits for tokens at most.
const PATIENCE: time::Duration = time::Duration::from_millis(2_500);

/// Share of the time to its deadline that a request waits for tokens, as a
/// divisor. The rest is left to be served in; without it a flood would make every
/// request of its workspace late.
const WAIT_SHARE: u32 = 2;

/// Least time to tell a refused caller to stay away.
const LEAST_WAIT: time::Duration = time::Duration::from_millis(100);

/// How long an ask may stay unanswered before the own share is spent.
const SILENCE: time::Duration = time::Duration::from_millis(120);

/// Span over which spending is averaged for the own share.
const SPENT_SPAN: time::Duration = time::Duration::from_secs(3);

/// How long an ask may stay unanswered before it is sent again.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// A grant that was not used for this long is returned.
const IDLE: time::Duration = time::Duration::from_millis(200);

/// Span of expected spending that an ask tries to cover.
const RESERVE: time::Duration = time::Duration::from_millis(500);

/// Longest time between a change of usage and its report.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How long a used up grant is kept for refunds.
const KEEP: time::Duration = time::Duration::from_mins(2);

/// What a request was charged, and from which grants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    parts: Vec<Part>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Part {
    grant: GrantId,
    tokens: u64,
}

impl Charge {
    /// Returns the tokens charged.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|p| p.tokens).sum()
    }
}

/// What the entry must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may run.
    Admit {
        /// The request.
        request: u64,
        /// What it was charged.
        charge: Charge,
    },
    /// The request is over its workspace's limit.
    Refuse {
        /// The request.
        request: u64,
        /// When to come back; `None` if it can never fit the burst.
        wait: Option<time::Duration>,
    },
    /// Ask the owner, and hand the reply to [`Holder::replied`].
    Ask(Ask),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    id: GrantId,
    tokens: u64,
    spent: u64,
    refunded: u64,
    until: time::Duration,
    used: time::Duration,
    closed: bool,
    /// Whether the owner has been told the present totals.
    reported: bool,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    request: u64,
    tokens: u64,
    since: time::Duration,
    deadline: time::Duration,
    /// How long it waits once the owner has said that tokens are not there.
    patience: time::Duration,
}

impl Waiting {
    /// Returns until when it waits for tokens.
    fn limit(&self, denied: bool) -> time::Duration {
        let left = self.deadline.saturating_sub(self.since);
        let share = left / WAIT_SHARE;
        let share = if denied { share.min(self.patience) } else { share };
        self.since + share.min(PATIENCE)
    }
}

/// The holder of one workspace on one entry.
#[derive(Clone, Debug)]
pub struct Holder {
    workspace: String,
    held: Vec<Held>,
    /// Grants that are closed, kept for the refunds of what they paid for.
    closed: Vec<Held>,
    waiting: collections::VecDeque<Waiting>,
    /// When the ask in flight was sent.
    asked: Option<time::Duration>,
    /// Not to ask again before this, after a denial.
    quiet: time::Duration,
    /// What the owner estimated, if its latest answer was a denial.
    denied: Option<time::Duration>,
    reported: time::Duration,
    /// Spending since `window`, and per [`RESERVE`] before.
    recent: u64,
    usual: u64,
    window: time::Duration,
    /// Tokens used beyond what was charged, to be charged to the next requests.
    debt: u64,
    /// What may be spent without an owner, if anything.
    share: Option<Share>,
    /// Whether the latest ask found no owner.
    orphaned: bool,
    /// Tokens asked for lately, decaying over [`SPENT_SPAN`], and since when.
    spent: f64,
    decayed: time::Duration,
}

impl Holder {
    /// Creates an empty holder.
    #[must_use]
    pub fn new(workspace: &str, now: time::Duration) -> Self {
        Self {
            workspace: workspace.to_owned(),
            held: Vec::new(),
            closed: Vec::new(),
            waiting: collections::VecDeque::new(),
            asked: None,
            quiet: now,
            denied: None,
            reported: now,
            recent: 0,
            usual: 0,
            window: now,
            debt: 0,
            share: None,
            orphaned: false,
            spent: 0.0,
            decayed: now,
        }
    }

    /// Charges a request, now or once tokens are granted. `deadline` is the last
    /// moment for it to start.
    pub fn charge(
        &mut self,
        request: u64,
        tokens: u64,
        deadline: time::Duration,
        now: time::Duration,
    ) -> Vec<Action> {
        self.charge_within(request, tokens, deadline, PATIENCE, now)
    }

    /// Charges a request that waits no longer than `patience` once the owner has
    /// said that tokens are not there.
    pub fn charge_within(
        &mut self,
        request: u64,
        tokens: u64,
        deadline: time::Duration,
        patience: time::Duration,
        now: time::Duration,
    ) -> Vec<Action> {
        let tokens = tokens + mem::take(&mut self.debt);
        self.decay(now);
        self.spent += f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        self.waiting.push_back(Waiting { request, tokens, since: now, deadline, patience });
        self.serve(now)
    }

    /// Takes in the owner's reply to the ask sent at `sent`.
    ///
    /// `wanted` tells whether the ask needed tokens or only reported.
    pub fn replied(
        &mut self,
        reply: Reply,
        sent: time::Duration,
        wanted: bool,
        now: time::Duration,
    ) -> Vec<Action> {
        if wanted {
            self.asked = None;
            self.orphaned = matches!(reply, Reply::TakingOver { .. });
        }
        match reply {
            Reply::Granted { id, tokens } => {
                self.denied = None;
                self.hold(id, tokens, sent, now);
            }
            Reply::Denied { wait } => {
                self.quiet = now + wait;
                self.denied = Some(wait);
            }
            Reply::TakingOver { wait } => {
                self.quiet = now + wait;
                self.denied = None;
            }
            Reply::Never => {
                let front = self.waiting.pop_front();
                let refuse = front.map(|w| Action::Refuse { request: w.request, wait: None });
                return refuse.into_iter().chain(self.serve(now)).collect();
            }
            Reply::Noted => {}
        }
        self.serve(now)
    }

    /// Notes that an ask was not answered, so that what it reported is reported
    /// again. `wanted` tells whether it needed tokens.
    pub fn lost(&mut self, wanted: bool) {
        if wanted {
            self.asked = None;
            self.orphaned = true;
        }
        self.held.iter_mut().chain(&mut self.closed).for_each(|h| h.reported = false);
    }

    /// Returns the tokens per second that were asked for lately.
    #[must_use]
    pub fn spending(&mut self, now: time::Duration) -> f64 {
        self.decay(now);
        self.spent / SPENT_SPAN.as_secs_f64()
    }

    /// Sets what may be spent while no owner answers.
    pub fn set_share(&mut self, basis: &Basis, now: time::Duration) {
        match &mut self.share {
            Some(share) => share.set(basis, now),
            None => self.share = Some(Share::new(basis, now)),
        }
    }

    /// Notes that a request used less than it was charged.
    pub fn refund(&mut self, charge: &Charge, unused: u64) {
        let mut left = unused;
        for part in charge.parts.iter().rev() {
            let back = part.tokens.min(left);
            left -= back;
            if back == 0 {
                continue;
            }
            let mut all = self.held.iter_mut().chain(&mut self.closed);
            if let Some(held) = all.find(|h| h.id == part.grant) {
                held.refunded += back;
                held.reported = false;
            }
        }
    }

    /// Notes that a request used more than it was charged. Later requests are
    /// charged for it.
    pub fn owe(&mut self, tokens: u64) {
        self.debt += tokens;
    }

    /// Returns all that is held, at the end of the process.
    pub fn close(&mut self) -> Ask {
        for held in &mut self.held {
            held.closed = true;
            held.reported = false;
        }
        self.report(0, 0, self.reported)
    }

    /// Gives up on a waiting request whose caller is gone.
    pub fn cancel(&mut self, request: u64) {
        self.waiting.retain(|w| w.request != request);
    }

    /// Lets time pass: lapses and returns grants, reports, asks again.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Action> {
        for held in self.held.iter_mut().filter(|h| !h.closed) {
            if now >= held.used + IDLE || now >= held.until {
                held.closed = true;
                held.reported = false;
            }
        }
        self.closed.extend(self.held.extract_if(.., |h| h.closed));
        self.closed.retain(|h| now < h.until + KEEP);
        self.roll(now);
        if let Some(share) = &mut self.share {
            share.advance(now);
        }
        let mut actions = self.serve(now);
        let due = now >= self.reported + REPORT_INTERVAL && self.has_unreported();
        if due {
            actions.push(Action::Ask(self.report(0, 0, now)));
        }
        actions
    }

    /// Returns true if nothing is held, waited for, left to report or missing from
    /// the own share, so that a new holder would be the same.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let quiet = self.held.is_empty()
            && self.closed.is_empty()
            && self.waiting.is_empty()
            && self.asked.is_none();
        quiet && self.debt == 0 && self.share.is_none_or(|s| s.is_full())
    }

    fn hold(&mut self, id: GrantId, tokens: u64, sent: time::Duration, now: time::Duration) {
        let until = sent + SPEND_TTL;
        let known = self.held.iter().chain(&self.closed).any(|h| h.id == id);
        if known || now >= until {
            return;
        }
        self.held.push(Held {
            id,
            tokens,
            spent: 0,
            refunded: 0,
            until,
            used: now,
            closed: false,
            reported: true,
        });
    }

    /// Admits from the front while tokens last, then asks for the next.
    fn serve(&mut self, now: time::Duration) -> Vec<Action> {
        let mut actions = self.refuse_late(now);
        while let Some(front) = self.waiting.front().copied() {
            let charge = self.spend(front.tokens, now);
            let Some(charge) = charge.or_else(|| self.spend_share(front.tokens, now)) else {
                break;
            };
            self.waiting.pop_front();
            actions.push(Action::Admit { request: front.request, charge });
        }
        actions.extend(self.refuse_hopeless(now));
        let Some(front) = self.waiting.front().copied() else {
            return actions;
        };
        let in_flight = self.asked.is_some_and(|sent| now < sent + ASK_TIMEOUT);
        if in_flight || now < self.quiet {
            return actions;
        }
        let queued: u64 = self.waiting.iter().map(|w| w.tokens).sum();
        let need = front.tokens.saturating_sub(self.available(now));
        // A holder that has just begun to spend doubles what it asks for, so that
        // it does not ask for each request until its first window is over.
        let expected = self.usual.max(self.recent);
        let ask = self.report(need, queued + expected, now);
        self.asked = Some(now);
        actions.push(Action::Ask(ask));
        actions
    }

    /// Spends from the own share if no owner answers.
    fn spend_share(&mut self, tokens: u64, now: time::Duration) -> Option<Charge> {
        let silent = self.asked.is_some_and(|sent| now >= sent + SILENCE);
        let share = self.share.as_mut().filter(|_| silent || self.orphaned)?;
        share.take(tokens, now).then(Charge::default)
    }

    fn decay(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.decayed).as_secs_f64();
        self.decayed = self.decayed.max(now);
        self.spent *= (-elapsed / SPENT_SPAN.as_secs_f64()).exp();
    }

    /// Refuses what has waited long enough.
    fn refuse_late(&mut self, now: time::Duration) -> Vec<Action> {
        self.refuse_at(now, now)
    }

    /// Refuses what can't be served in time.
    fn refuse_hopeless(&mut self, now: time::Duration) -> Vec<Action> {
        if self.share.is_some() && self.orphaned {
            return Vec::new();
        }
        self.refuse_at(self.quiet, now)
    }

    /// Refuses whatever will have waited long enough at `then`.
    fn refuse_at(&mut self, then: time::Duration, now: time::Duration) -> Vec<Action> {
        let mut refused = Vec::new();
        let quiet = self.quiet;
        let denied = self.denied.is_some();
        let estimate = self.denied.unwrap_or_default().max(LEAST_WAIT);
        self.waiting.retain(|w| {
            let limit = w.limit(denied);
            let late = then > limit || now >= limit;
            if late {
                let wait = quiet.saturating_sub(now).max(estimate);
                refused.push(Action::Refuse { request: w.request, wait: Some(wait) });
            }
            !late
        });
        refused
    }

    fn has_unreported(&self) -> bool {
        self.held.iter().chain(&self.closed).any(|h| !h.reported)
    }

    fn available(&self, now: time::Duration) -> u64 {
        let live = self.held.iter().filter(|h| !h.closed && now < h.until);
        live.map(|h| h.tokens - h.spent).sum()
    }

    /// Spends from the grants that lapse first.
    fn spend(&mut self, tokens: u64, now: time::Duration) -> Option<Charge> {
        if self.available(now) < tokens {
            return None;
        }
        self.roll(now);
        self.recent += tokens;
        let mut left = tokens;
        let mut charge = Charge::default();
        for held in self.held.iter_mut().filter(|h| !h.closed && now < h.until) {
            let part = left.min(held.tokens - held.spent);
            if part == 0 {
                continue;
            }
            held.spent += part;
            held.used = now;
            held.reported = false;
            held.closed = held.spent == held.tokens;
            charge.parts.push(Part { grant: held.id, tokens: part });
            left -= part;
        }
        Some(charge)
    }

    /// Starts a new window for the estimate of usual spending.
    fn roll(&mut self, now: time::Duration) {
        if now >= self.window + RESERVE {
            let idle = now >= self.window + RESERVE * 2;
            self.usual = if idle { 0 } else { mem::take(&mut self.recent) };
            self.recent = 0;
            self.window = now;
        }
    }

    fn report(&mut self, need: u64, want: u64, now: time::Duration) -> Ask {
        self.reported = now;
        let mut usage = Vec::new();
        let all = self.held.iter_mut().chain(&mut self.closed);
        for held in all.filter(|h| !h.reported) {
            held.reported = true;
            usage.push(Usage {
                grant: held.id,
                spent: held.spent,
                refunded: held.refunded,
                closed: held.closed,
            });
        }
        Ask { workspace: self.workspace.clone(), need, want, usage }
    }
}
