//! The gateway's side: the grants held for a workspace, what is spent from them,
//! and the requests that wait for tokens.
//!
//! A request that fits into the grants held is admitted without a message to the
//! owner. Any other request waits while the owner is asked for the missing
//! tokens. Only the owner's reply can refuse a request before its wait is over,
//! because only the owner knows which tokens other gateways hold.

use std::{collections, mem, time};

use super::{
    GrantId, GrantReply, GrantRequest, SPEND_TTL, Usage,
    share::{Share, ShareInputs},
};

/// Longest time that a request waits for tokens.
const MAX_WAIT: time::Duration = time::Duration::from_millis(2_500);

/// A request waits for tokens for at most the time to its deadline divided by
/// this. The rest is left for serving it; otherwise a workspace far above its
/// limit would have all its requests late.
const WAIT_DIVISOR: u32 = 2;

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// How long the owner may leave a request unanswered before the local share is
/// spent.
const SHARE_DELAY: time::Duration = time::Duration::from_millis(120);

/// Time constant of the average of requested tokens.
const RATE_SPAN: time::Duration = time::Duration::from_secs(3);

/// How long the owner may leave a request unanswered before another is sent.
const RESEND_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// A grant that was not used for this long is returned.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Length of the windows in which spending is counted. A request to the owner asks
/// for the tokens of one window beyond those that waiting requests need.
const SPEND_WINDOW: time::Duration = time::Duration::from_millis(500);

/// Longest time between a change of usage and its report.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How long after its expiry a closed grant is kept for refunds.
const REFUND_RETENTION: time::Duration = time::Duration::from_mins(2);

/// The tokens that a request was charged, by grant. Empty if they were spent from
/// the local share, which takes no refunds.
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

/// What the caller of a [`Holder`] must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request.
    Admit {
        /// Number of the request.
        request: u64,
        /// Tokens that it was charged.
        charge: Charge,
    },
    /// Refuse the request, since its workspace is over its limit.
    Refuse {
        /// Number of the request.
        request: u64,
        /// Time after which to retry; `None` if the request can never fit the burst.
        retry_after: Option<time::Duration>,
    },
    /// Send this to the owner, and pass the reply to [`Holder::handle_reply`] or
    /// call [`Holder::handle_no_reply`].
    Send(GrantRequest),
}

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    id: GrantId,
    tokens: u64,
    spent: u64,
    refunded: u64,
    expires: time::Duration,
    last_used: time::Duration,
    /// Whether no more is spent from it.
    closed: bool,
    /// Whether the present totals were sent to the owner.
    reported: bool,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    request: u64,
    tokens: u64,
    since: time::Duration,
    deadline: time::Duration,
    /// How long it waits at most if the owner has denied tokens.
    denied_wait: time::Duration,
}

impl WaitingRequest {
    /// Returns until when it waits for tokens.
    fn wait_until(&self, denied: bool) -> time::Duration {
        let left = self.deadline.saturating_sub(self.since);
        let wait = left / WAIT_DIVISOR;
        let wait = if denied { wait.min(self.denied_wait) } else { wait };
        self.since + wait.min(MAX_WAIT)
    }
}

/// The grants of one workspace on one gateway.
#[derive(Clone, Debug)]
pub struct Holder {
    workspace: String,
    held: Vec<HeldGrant>,
    /// Closed grants, kept for the refunds of requests that were charged to them.
    closed: Vec<HeldGrant>,
    waiting: collections::VecDeque<WaitingRequest>,
    /// When the request for tokens that is in flight was sent.
    sent_at: Option<time::Duration>,
    /// No tokens are requested from the owner before this moment.
    retry_at: time::Duration,
    /// The owner's estimate of the wait, if its latest reply was a denial.
    denial: Option<time::Duration>,
    last_report: time::Duration,
    /// Tokens spent from grants since `window_start`.
    window_spent: u64,
    /// Tokens spent from grants in the window before.
    previous_spent: u64,
    window_start: time::Duration,
    /// Tokens used beyond those charged, to be charged to the next request.
    debt: u64,
    /// What may be spent while no owner replies. `None` until it is set.
    share: Option<Share>,
    /// Whether the latest request for tokens reached no owner, or one that was
    /// taking over.
    owner_unavailable: bool,
    /// Tokens requested, decayed with [`RATE_SPAN`] up to `decayed_at`.
    requested: f64,
    decayed_at: time::Duration,
}

impl Holder {
    /// Creates a holder without grants.
    #[must_use]
    pub fn new(workspace: &str, now: time::Duration) -> Self {
        Self {
            workspace: workspace.to_owned(),
            held: Vec::new(),
            closed: Vec::new(),
            waiting: collections::VecDeque::new(),
            sent_at: None,
            retry_at: now,
            denial: None,
            last_report: now,
            window_spent: 0,
            previous_spent: 0,
            window_start: now,
            debt: 0,
            share: None,
            owner_unavailable: false,
            requested: 0.0,
            decayed_at: now,
        }
    }

    /// Charges a request, now or when tokens are granted. `deadline` is the last
    /// moment for the request to start.
    pub fn charge(
        &mut self,
        request: u64,
        tokens: u64,
        deadline: time::Duration,
        now: time::Duration,
    ) -> Vec<Action> {
        self.charge_with_denied_wait(request, tokens, deadline, MAX_WAIT, now)
    }

    /// Like [`Holder::charge`], but the request waits no longer than `denied_wait`
    /// once the owner has denied tokens.
    pub fn charge_with_denied_wait(
        &mut self,
        request: u64,
        tokens: u64,
        deadline: time::Duration,
        denied_wait: time::Duration,
        now: time::Duration,
    ) -> Vec<Action> {
        let tokens = tokens + mem::take(&mut self.debt);
        self.decay(now);
        self.requested += f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        self.waiting.push_back(WaitingRequest {
            request,
            tokens,
            since: now,
            deadline,
            denied_wait,
        });
        self.admit_waiting(now)
    }

    /// Handles the owner's reply to the request sent at `sent`.
    ///
    /// `needs_tokens` tells whether the request was for tokens or only reported
    /// usage.
    pub fn handle_reply(
        &mut self,
        reply: GrantReply,
        sent: time::Duration,
        needs_tokens: bool,
        now: time::Duration,
    ) -> Vec<Action> {
        if needs_tokens {
            self.sent_at = None;
            self.owner_unavailable = matches!(reply, GrantReply::TakingOver { .. });
        }
        match reply {
            GrantReply::Granted { id, tokens } => {
                self.denial = None;
                self.add_grant(id, tokens, sent, now);
            }
            GrantReply::Denied { wait } => {
                self.retry_at = now + wait;
                self.denial = Some(wait);
            }
            GrantReply::TakingOver { wait } => {
                self.retry_at = now + wait;
                self.denial = None;
            }
            GrantReply::Unsatisfiable => {
                let front = self.waiting.pop_front();
                let refuse =
                    front.map(|w| Action::Refuse { request: w.request, retry_after: None });
                return refuse.into_iter().chain(self.admit_waiting(now)).collect();
            }
            GrantReply::Recorded => {}
        }
        self.admit_waiting(now)
    }

    /// Notes that a request to the owner was not answered. What it reported is
    /// reported again. `needs_tokens` tells whether it was for tokens.
    pub fn handle_no_reply(&mut self, needs_tokens: bool) {
        if needs_tokens {
            self.sent_at = None;
            self.owner_unavailable = true;
        }
        self.held.iter_mut().chain(&mut self.closed).for_each(|h| h.reported = false);
    }

    /// Returns the tokens per second requested lately, refused requests included.
    #[must_use]
    pub fn requested_rate(&mut self, now: time::Duration) -> f64 {
        self.decay(now);
        self.requested / RATE_SPAN.as_secs_f64()
    }

    /// Sets what may be spent while no owner replies.
    pub fn set_share(&mut self, inputs: &ShareInputs, now: time::Duration) {
        match &mut self.share {
            Some(share) => share.update(inputs, now),
            None => self.share = Some(Share::new(inputs, now)),
        }
    }

    /// Refunds tokens that a request was charged and did not use.
    pub fn refund(&mut self, charge: &Charge, unused: u64) {
        let mut left = unused;
        for part in charge.parts.iter().rev() {
            let refunded = part.tokens.min(left);
            left -= refunded;
            if refunded == 0 {
                continue;
            }
            let mut all = self.held.iter_mut().chain(&mut self.closed);
            if let Some(held) = all.find(|h| h.id == part.grant) {
                held.refunded += refunded;
                held.reported = false;
            }
        }
    }

    /// Adds tokens that a request used beyond those it was charged. The next
    /// request is charged for them.
    pub fn add_debt(&mut self, tokens: u64) {
        self.debt += tokens;
    }

    /// Closes all grants and returns the final report. Called when the process
    /// ends.
    pub fn close(&mut self) -> GrantRequest {
        for held in &mut self.held {
            held.closed = true;
            held.reported = false;
        }
        self.grant_request(0, 0, self.last_report)
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, request: u64) {
        self.waiting.retain(|w| w.request != request);
    }

    /// Closes idle and expired grants, refills the local share, admits or refuses
    /// waiting requests and reports usage. Called at short intervals.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Action> {
        for held in self.held.iter_mut().filter(|h| !h.closed) {
            if now >= held.last_used + IDLE_TIMEOUT || now >= held.expires {
                held.closed = true;
                held.reported = false;
            }
        }
        self.closed.extend(self.held.extract_if(.., |h| h.closed));
        self.closed.retain(|h| now < h.expires + REFUND_RETENTION);
        self.roll_window(now);
        if let Some(share) = &mut self.share {
            share.refill(now);
        }
        let mut actions = self.admit_waiting(now);
        let due = now >= self.last_report + REPORT_INTERVAL && self.has_unreported();
        if due {
            actions.push(Action::Send(self.grant_request(0, 0, now)));
        }
        actions
    }

    /// Returns true if a new holder would behave the same: there are no grants,
    /// waiting requests, replies to come or debt, and the local share is full.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let empty = self.held.is_empty()
            && self.closed.is_empty()
            && self.waiting.is_empty()
            && self.sent_at.is_none();
        empty && self.debt == 0 && self.share.is_none_or(|s| s.is_full())
    }

    /// Adds a grant, unless it is known or came too late to be spent.
    fn add_grant(&mut self, id: GrantId, tokens: u64, sent: time::Duration, now: time::Duration) {
        let expires = sent + SPEND_TTL;
        let known = self.held.iter().chain(&self.closed).any(|h| h.id == id);
        if known || now >= expires {
            return;
        }
        self.held.push(HeldGrant {
            id,
            tokens,
            spent: 0,
            refunded: 0,
            expires,
            last_used: now,
            closed: false,
            reported: true,
        });
    }

    /// Admits waiting requests in order of arrival while there are tokens,
    /// refuses those that can't be admitted in time, and requests tokens for the
    /// next one.
    fn admit_waiting(&mut self, now: time::Duration) -> Vec<Action> {
        let mut actions = self.refuse_overdue(now);
        while let Some(front) = self.waiting.front().copied() {
            let charge = self.spend(front.tokens, now);
            let Some(charge) = charge.or_else(|| self.spend_share(front.tokens, now)) else {
                break;
            };
            self.waiting.pop_front();
            actions.push(Action::Admit { request: front.request, charge });
        }
        actions.extend(self.refuse_before_retry(now));
        let Some(front) = self.waiting.front().copied() else {
            return actions;
        };
        let in_flight = self.sent_at.is_some_and(|sent| now < sent + RESEND_TIMEOUT);
        if in_flight || now < self.retry_at {
            return actions;
        }
        let queued: u64 = self.waiting.iter().map(|w| w.tokens).sum();
        let required = front.tokens.saturating_sub(self.available(now));
        // The current window counts as well. A holder in its first window thereby
        // doubles the tokens that it asks for, instead of asking for each request.
        let expected = self.previous_spent.max(self.window_spent);
        let request = self.grant_request(required, queued + expected, now);
        self.sent_at = Some(now);
        actions.push(Action::Send(request));
        actions
    }

    /// Spends from the local share if no owner replies.
    fn spend_share(&mut self, tokens: u64, now: time::Duration) -> Option<Charge> {
        let overdue = self.sent_at.is_some_and(|sent| now >= sent + SHARE_DELAY);
        let share = self.share.as_mut().filter(|_| overdue || self.owner_unavailable)?;
        share.try_spend(tokens, now).then(Charge::default)
    }

    fn decay(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = self.decayed_at.max(now);
        self.requested *= (-elapsed / RATE_SPAN.as_secs_f64()).exp();
    }

    /// Refuses requests whose wait is over.
    fn refuse_overdue(&mut self, now: time::Duration) -> Vec<Action> {
        self.refuse_ending_before(now, now)
    }

    /// Refuses requests whose wait ends before the owner may be asked again,
    /// unless the local share may serve them.
    fn refuse_before_retry(&mut self, now: time::Duration) -> Vec<Action> {
        if self.share.is_some() && self.owner_unavailable {
            return Vec::new();
        }
        self.refuse_ending_before(self.retry_at, now)
    }

    /// Refuses requests whose wait is over, or ends before `then`.
    fn refuse_ending_before(&mut self, then: time::Duration, now: time::Duration) -> Vec<Action> {
        let mut refused = Vec::new();
        let retry_at = self.retry_at;
        let denied = self.denial.is_some();
        let estimate = self.denial.unwrap_or_default().max(MIN_RETRY_AFTER);
        self.waiting.retain(|w| {
            let until = w.wait_until(denied);
            let late = then > until || now >= until;
            if late {
                let retry_after = retry_at.saturating_sub(now).max(estimate);
                refused.push(Action::Refuse { request: w.request, retry_after: Some(retry_after) });
            }
            !late
        });
        refused
    }

    fn has_unreported(&self) -> bool {
        self.held.iter().chain(&self.closed).any(|h| !h.reported)
    }

    /// Returns the tokens that can be spent from grants.
    fn available(&self, now: time::Duration) -> u64 {
        let open = self.held.iter().filter(|h| !h.closed && now < h.expires);
        open.map(|h| h.tokens - h.spent).sum()
    }

    /// Spends from the grants in the order in which they arrived.
    fn spend(&mut self, tokens: u64, now: time::Duration) -> Option<Charge> {
        if self.available(now) < tokens {
            return None;
        }
        self.roll_window(now);
        self.window_spent += tokens;
        let mut left = tokens;
        let mut charge = Charge::default();
        for held in self.held.iter_mut().filter(|h| !h.closed && now < h.expires) {
            let part = left.min(held.tokens - held.spent);
            if part == 0 {
                continue;
            }
            held.spent += part;
            held.last_used = now;
            held.reported = false;
            held.closed = held.spent == held.tokens;
            charge.parts.push(Part { grant: held.id, tokens: part });
            left -= part;
        }
        Some(charge)
    }

    /// Starts a new window if the current one is over.
    fn roll_window(&mut self, now: time::Duration) {
        if now >= self.window_start + SPEND_WINDOW {
            let idle = now >= self.window_start + SPEND_WINDOW * 2;
            self.previous_spent = if idle { 0 } else { mem::take(&mut self.window_spent) };
            self.window_spent = 0;
            self.window_start = now;
        }
    }

    /// Returns a request that reports all usage not yet reported.
    fn grant_request(&mut self, required: u64, desired: u64, now: time::Duration) -> GrantRequest {
        self.last_report = now;
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
        GrantRequest { workspace: self.workspace.clone(), required, desired, usage }
    }
}
