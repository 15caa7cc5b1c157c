//! The gateway's part of rate limiting: the grants held for a workspace, what is
//! spent from them, and the requests that wait for tokens.
//!
//! A request that fits into the grants held is admitted without a message to the
//! owner (the leading control replica, which has the token bucket). Any other
//! request waits while the owner is asked for the missing tokens. Only the owner's
//! reply can refuse a request before its wait is over, because only the owner
//! knows which tokens other gateways hold.

use std::{collections, mem, time};

use crate::request::stage::Stage;

use super::{
    GrantId, GrantReply, GrantRequest, SPEND_TTL, Usage,
    share::{Share, ShareInputs},
};

/// Longest time that a request waits for tokens.
pub const MAX_WAIT: time::Duration = time::Duration::from_millis(2_500);

/// A request waits for tokens for at most the time to its deadline divided by
/// this. The rest is left for serving it; otherwise all requests of a workspace far
/// above its limit would miss their deadlines.
const WAIT_DIVISOR: u32 = 2;

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// How long the owner may leave a grant request unanswered before the local share
/// is spent: this gateway's part of the limit, for times without an owner.
const SHARE_DELAY: time::Duration = time::Duration::from_millis(120);

/// Time constant of the average of requested tokens.
const RATE_TIME_CONSTANT: time::Duration = time::Duration::from_secs(3);

/// How long the owner may leave a grant request unanswered before another is sent. Within
/// this time the request itself is repeated at another leader.
const RESEND_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A grant that was not used for this long is closed, so that the owner gets the
/// rest of it back.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Length of the windows in which spending is counted. Beyond the tokens that waiting
/// requests need, a grant request asks for as many as were spent in the current or
/// the previous window, whichever is more.
const SPEND_WINDOW: time::Duration = time::Duration::from_millis(500);

/// Longest time between a change of usage and its report.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How long after its expiry a closed grant is kept for refunds.
const REFUND_RETENTION: time::Duration = time::Duration::from_mins(2);

/// The tokens that a request was charged, by grant. Empty if they were spent from
/// the local share, which takes no refunds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    parts: Vec<GrantCharge>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GrantCharge {
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

/// What the caller of a [`WorkspaceGrants`] must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request.
    Admit {
        /// Id that the caller gave the request.
        request: u64,
        /// Tokens that it was charged.
        charge: Charge,
    },
    /// Refuse the request, since its workspace is over its limit.
    Refuse {
        /// Id that the caller gave the request.
        request: u64,
        /// Time after which to retry; `None` if the request can never fit the burst.
        retry_after: Option<time::Duration>,
    },
    /// Send this to the owner, and pass the reply to [`WorkspaceGrants::handle_reply`] or
    /// call [`WorkspaceGrants::handle_no_reply`].
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
    /// Whether the current `spent`, `refunded` and `closed` were sent to the owner.
    reported: bool,
}

/// What a request needs to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Id that the caller of [`WorkspaceGrants`] gave the request.
    pub request: u64,
    /// Tokens to charge.
    pub tokens: u64,
    /// Last moment for the request to start.
    pub deadline: time::Duration,
    /// How long it waits at most once the owner has denied tokens.
    pub denied_wait: time::Duration,
    /// Requests that continue a stream get tokens before new ones.
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    demand: Demand,
    since: time::Duration,
}

impl WaitingRequest {
    /// Returns until when it waits for tokens.
    fn wait_until(&self, denied: bool) -> time::Duration {
        let left = self.demand.deadline.saturating_sub(self.since);
        let wait = left / WAIT_DIVISOR;
        let wait = if denied { wait.min(self.demand.denied_wait) } else { wait };
        self.since + wait.min(MAX_WAIT)
    }
}

/// The grants of one workspace on one gateway.
#[derive(Clone, Debug)]
pub struct WorkspaceGrants {
    workspace: String,
    grants: Vec<HeldGrant>,
    /// Closed grants, kept for the refunds of requests that were charged to them.
    closed: Vec<HeldGrant>,
    /// In order of stages, then of arrival.
    waiting: collections::VecDeque<WaitingRequest>,
    /// When the grant request in flight was sent, if it asks for tokens.
    sent_at: Option<time::Duration>,
    /// First waiting request when the latest grant request for tokens was sent; another may
    /// be the first when the reply arrives.
    asked_for: Option<u64>,
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
    /// Tokens used beyond those charged, to be charged to the next request. They are
    /// lost if that request is refused or cancelled.
    debt: u64,
    /// The local share, which may be spent while no owner replies. `None` until it is
    /// set.
    share: Option<Share>,
    /// Whether the latest grant request for tokens reached no owner, or one that was
    /// taking over.
    owner_unavailable: bool,
    /// Tokens requested, decayed with [`RATE_TIME_CONSTANT`] up to `decayed_at`.
    requested: f64,
    decayed_at: time::Duration,
}

impl WorkspaceGrants {
    /// Creates the state of a workspace without grants.
    #[must_use]
    pub fn new(workspace: &str, now: time::Duration) -> Self {
        Self {
            workspace: workspace.to_owned(),
            grants: Vec::new(),
            closed: Vec::new(),
            waiting: collections::VecDeque::new(),
            sent_at: None,
            asked_for: None,
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

    /// Queues a new request, then admits or refuses it or keeps it until tokens are
    /// granted. `deadline` is the last moment for the request to start.
    pub fn submit(
        &mut self,
        request: u64,
        tokens: u64,
        deadline: time::Duration,
        now: time::Duration,
    ) -> Vec<Action> {
        let stage = Stage::New;
        let demand = Demand { request, tokens, deadline, denied_wait: MAX_WAIT, stage };
        self.submit_demand(demand, now)
    }

    /// Like [`WorkspaceGrants::submit`], for a request with a limited wait or one that
    /// continues a stream.
    pub fn submit_demand(&mut self, demand: Demand, now: time::Duration) -> Vec<Action> {
        let tokens = demand.tokens + mem::take(&mut self.debt);
        self.decay(now);
        self.requested += f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        let position = self.waiting.partition_point(|w| w.demand.stage <= demand.stage);
        let waiting = WaitingRequest { demand: Demand { tokens, ..demand }, since: now };
        self.waiting.insert(position, waiting);
        self.admit_waiting(now)
    }

    /// Handles the owner's reply to the grant request sent at `sent`.
    ///
    /// `asked_for_tokens` tells whether the grant request was for tokens or only reported
    /// usage.
    pub fn handle_reply(
        &mut self,
        reply: GrantReply,
        sent: time::Duration,
        asked_for_tokens: bool,
        now: time::Duration,
    ) -> Vec<Action> {
        if asked_for_tokens {
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
                let asked_for = self.asked_for.take();
                let position =
                    self.waiting.iter().position(|w| Some(w.demand.request) == asked_for);
                let excessive = position.and_then(|at| self.waiting.remove(at));
                let refuse = excessive
                    .map(|w| Action::Refuse { request: w.demand.request, retry_after: None });
                return refuse.into_iter().chain(self.admit_waiting(now)).collect();
            }
            GrantReply::Recorded => {}
        }
        self.admit_waiting(now)
    }

    /// Handles a grant request that was not answered: the usage of all grants is
    /// reported again. `asked_for_tokens` tells whether it was for tokens.
    pub fn handle_no_reply(&mut self, asked_for_tokens: bool) {
        if asked_for_tokens {
            self.sent_at = None;
            self.owner_unavailable = true;
        }
        self.grants.iter_mut().chain(&mut self.closed).for_each(|h| h.reported = false);
    }

    /// Returns the tokens per second requested lately, refused requests included.
    #[must_use]
    pub fn requested_rate(&mut self, now: time::Duration) -> f64 {
        self.decay(now);
        self.requested / RATE_TIME_CONSTANT.as_secs_f64()
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
            let mut all = self.grants.iter_mut().chain(&mut self.closed);
            if let Some(grant) = all.find(|h| h.id == part.grant) {
                grant.refunded += refunded;
                grant.reported = false;
            }
        }
    }

    /// Adds tokens that a request used beyond those it was charged. The next
    /// request is charged for them; if it is refused or cancelled, they are lost.
    pub fn add_debt(&mut self, tokens: u64) {
        self.debt += tokens;
    }

    /// Closes all grants and returns the final report. Called when the process
    /// ends.
    pub fn close(&mut self) -> GrantRequest {
        for grant in &mut self.grants {
            grant.closed = true;
            grant.reported = false;
        }
        self.grant_request(0, 0, self.last_report)
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, request: u64) {
        self.waiting.retain(|w| w.demand.request != request);
    }

    /// Closes idle and expired grants, refills the local share, admits or refuses
    /// waiting requests and reports usage. Called at short intervals.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Action> {
        for grant in self.grants.iter_mut().filter(|h| !h.closed) {
            if now >= grant.last_used + IDLE_TIMEOUT || now >= grant.expires {
                grant.closed = true;
                grant.reported = false;
            }
        }
        self.closed.extend(self.grants.extract_if(.., |h| h.closed));
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

    /// Returns true if dropping this value loses nothing except the averages and what
    /// the owner last replied: there are no grants, waiting requests, unanswered
    /// requests for tokens or debt, and the local share is full.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let empty = self.grants.is_empty()
            && self.closed.is_empty()
            && self.waiting.is_empty()
            && self.sent_at.is_none();
        empty && self.debt == 0 && self.share.is_none_or(|s| s.is_full())
    }

    /// Adds a grant, unless it is known or came too late to be spent.
    fn add_grant(&mut self, id: GrantId, tokens: u64, sent: time::Duration, now: time::Duration) {
        let expires = sent + SPEND_TTL;
        let known = self.grants.iter().chain(&self.closed).any(|h| h.id == id);
        if known || now >= expires {
            return;
        }
        self.grants.push(HeldGrant {
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

    /// Admits waiting requests in their order while there are tokens,
    /// refuses those that can't be admitted in time, and requests tokens for the
    /// others: enough for the first, and if possible for all.
    fn admit_waiting(&mut self, now: time::Duration) -> Vec<Action> {
        let mut actions = self.refuse_overdue(now);
        while let Some(WaitingRequest { demand: front, .. }) = self.waiting.front().copied() {
            let charge = self.spend(front.tokens, now);
            let Some(charge) = charge.or_else(|| self.spend_share(front.tokens, now)) else {
                break;
            };
            self.waiting.pop_front();
            actions.push(Action::Admit { request: front.request, charge });
        }
        actions.extend(self.refuse_before_retry(now));
        let Some(WaitingRequest { demand: front, .. }) = self.waiting.front().copied() else {
            return actions;
        };
        let in_flight = self.sent_at.is_some_and(|sent| now < sent + RESEND_TIMEOUT);
        if in_flight || now < self.retry_at {
            return actions;
        }
        let queued: u64 = self.waiting.iter().map(|w| w.demand.tokens).sum();
        let required = front.tokens.saturating_sub(self.available(now));
        // The current window counts as well. In the first window, each request for
        // tokens thereby asks for about twice as many as the one before, so that not
        // every request to be admitted needs one.
        let expected = self.previous_spent.max(self.window_spent);
        let request = self.grant_request(required, queued + expected, now);
        self.sent_at = Some(now);
        self.asked_for = Some(front.request);
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
        self.requested *= (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp();
    }

    /// Refuses requests whose wait is over.
    fn refuse_overdue(&mut self, now: time::Duration) -> Vec<Action> {
        self.refuse_ending_before(now, now)
    }

    /// Refuses requests whose wait ends before the owner may be asked again,
    /// unless the local share may be spent for them.
    fn refuse_before_retry(&mut self, now: time::Duration) -> Vec<Action> {
        if self.share.is_some() && self.owner_unavailable {
            return Vec::new();
        }
        self.refuse_ending_before(self.retry_at, now)
    }

    /// Refuses requests whose wait is over, or ends before `cutoff`.
    fn refuse_ending_before(&mut self, cutoff: time::Duration, now: time::Duration) -> Vec<Action> {
        let mut refused = Vec::new();
        let retry_at = self.retry_at;
        let denied = self.denial.is_some();
        let estimate = self.denial.unwrap_or_default().max(MIN_RETRY_AFTER);
        self.waiting.retain(|w| {
            let until = w.wait_until(denied);
            let late = cutoff > until || now >= until;
            if late {
                let retry_after = retry_at.saturating_sub(now).max(estimate);
                refused.push(Action::Refuse {
                    request: w.demand.request,
                    retry_after: Some(retry_after),
                });
            }
            !late
        });
        refused
    }

    fn has_unreported(&self) -> bool {
        self.grants.iter().chain(&self.closed).any(|h| !h.reported)
    }

    /// Returns the tokens that can be spent from grants.
    fn available(&self, now: time::Duration) -> u64 {
        let open = self.grants.iter().filter(|h| !h.closed && now < h.expires);
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
        for grant in self.grants.iter_mut().filter(|h| !h.closed && now < h.expires) {
            let part = left.min(grant.tokens - grant.spent);
            if part == 0 {
                continue;
            }
            grant.spent += part;
            grant.last_used = now;
            grant.reported = false;
            grant.closed = grant.spent == grant.tokens;
            charge.parts.push(GrantCharge { grant: grant.id, tokens: part });
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

    /// Returns a grant request that reports all usage not yet reported.
    fn grant_request(&mut self, required: u64, desired: u64, now: time::Duration) -> GrantRequest {
        self.last_report = now;
        let mut usage = Vec::new();
        let all = self.grants.iter_mut().chain(&mut self.closed);
        for grant in all.filter(|h| !h.reported) {
            grant.reported = true;
            usage.push(Usage {
                grant: grant.id,
                spent: grant.spent,
                refunded: grant.refunded,
                closed: grant.closed,
            });
        }
        GrantRequest { workspace: self.workspace.clone(), required, desired, usage }
    }
}
