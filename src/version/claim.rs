//! Claims: the record that a call that may not be repeated was, or may have
//! been, dispatched.
//!
//! A claim is committed to the log before the first byte of its call goes to a
//! target. Exactly one attempt wins it, and only the winner dispatches, once.
//! Claims are kept in time buckets that are dropped whole, so expiry costs
//! nothing per claim and the horizon is exact to one bucket.

use std::collections;

use serde::{Deserialize, Serialize};

/// How long a claim is kept at least, in ms of log time.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Span of one bucket, in ms of log time.
const BUCKET_MS: u64 = 60 * 60 * 1_000;

/// Largest response that is recorded, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Identifies an entry process from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session(pub u64);

/// One attempt of one entry to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// The entry's session.
    pub session: Session,
    /// Number within the session.
    pub number: u64,
}

/// What the caller calls a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// Workspace whose key came with the call; empty on an open route.
    pub workspace: String,
    /// Name of the route.
    pub route: String,
    /// The caller's idempotency key.
    pub idempotency_key: String,
}

/// Digest of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 32]);

/// An response as it was given to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the target named one.
    pub content_type: Option<String>,
    /// Body, or `None` if it was longer than [`MAX_RESPONSE_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// How far a claimed call is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The claimant may be running it.
    Running,
    /// It ran, and this was the answer.
    Done(StoredResponse),
    /// The claimant is gone, or lost the answer; it may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    body: BodyDigest,
    attempt: Attempt,
    status: Status,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Bucket {
    start: u64,
    claims: collections::BTreeMap<RequestKey, Claim>,
}

/// A change of the claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Ask for the right to run a call.
    Claim {
        /// The call.
        key: RequestKey,
        /// Digest of its body.
        body: BodyDigest,
        /// Who asks.
        attempt: Attempt,
    },
    /// Record what became of a call that was claimed.
    Finish {
        /// The call.
        key: RequestKey,
        /// Who claimed it.
        attempt: Attempt,
        /// The response, or `None` if it was lost.
        response: Option<StoredResponse>,
    },
    /// Give up a claim whose call was provably never sent.
    Release {
        /// The call.
        key: RequestKey,
        /// Who claimed it.
        attempt: Attempt,
    },
}

/// What became of a claim command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// This attempt, and no other, may dispatch the call.
    Acquired,
    /// Another attempt may be running it.
    Running,
    /// It ran, and this was the answer.
    Done(StoredResponse),
    /// It may have run, and will not be run again.
    Unknown,
    /// The key was used for a call with another body.
    BodyMismatch,
    /// The session that asks has been ended.
    SessionEnded,
    /// Recorded, released, or nothing to do.
    Recorded,
}

/// All claims within the horizon, and the sessions that may hold some.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    buckets: collections::VecDeque<Bucket>,
    sessions: collections::BTreeMap<Session, collections::BTreeSet<RequestKey>>,
}

impl Claims {
    /// Applies a command at `now`, in ms of log time.
    pub fn apply(&mut self, command: &Command, now: u64) -> Outcome {
        match command {
            Command::Claim { key, body, attempt } => self.claim(key, *body, *attempt, now),
            Command::Finish { key, attempt, response } => {
                self.finish(key, *attempt, response.clone())
            }
            Command::Release { key, attempt } => self.release(key, *attempt),
        }
    }

    /// Admits a session.
    pub fn begin_session(&mut self, session: Session) {
        self.sessions.entry(session).or_default();
    }

    /// Ends a session: what it was running has an unknown outcome from now on.
    pub fn end_session(&mut self, session: Session) {
        for key in self.sessions.remove(&session).into_iter().flatten() {
            if let Some(claim) = find_claim(&mut self.buckets, &key)
                && claim.status == Status::Running
            {
                claim.status = Status::Unknown;
            }
        }
    }

    /// Returns the sessions that were admitted and not ended.
    pub fn sessions(&self) -> impl Iterator<Item = Session> + '_ {
        self.sessions.keys().copied()
    }

    /// Returns true if the session was admitted and not ended.
    #[must_use]
    pub fn is_session_live(&self, session: Session) -> bool {
        self.sessions.contains_key(&session)
    }

    /// Returns how many claims are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|b| b.claims.len()).sum()
    }

    /// Returns true if none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn claim(&mut self, key: &RequestKey, body: BodyDigest, attempt: Attempt, now: u64) -> Outcome {
        self.expire(now);
        if !self.sessions.contains_key(&attempt.session) {
            return Outcome::SessionEnded;
        }
        if let Some(claim) = find_claim(&mut self.buckets, key) {
            if claim.body != body {
                return Outcome::BodyMismatch;
            }
            return match &claim.status {
                // The same attempt asking again after a lost response still holds
                // the claim that it won.
                Status::Running if claim.attempt == attempt => Outcome::Acquired,
                Status::Running => Outcome::Running,
                Status::Done(response) => Outcome::Done(response.clone()),
                Status::Unknown => Outcome::Unknown,
            };
        }
        let start = now - now % BUCKET_MS;
        if self.buckets.back().is_none_or(|b| b.start < start) {
            self.buckets.push_back(Bucket { start, claims: collections::BTreeMap::new() });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.claims.insert(key.clone(), Claim { body, attempt, status: Status::Running });
        }
        self.sessions.entry(attempt.session).or_default().insert(key.clone());
        Outcome::Acquired
    }

    fn finish(
        &mut self,
        key: &RequestKey,
        attempt: Attempt,
        response: Option<StoredResponse>,
    ) -> Outcome {
        self.unlink(key, attempt);
        if let Some(claim) = find_claim(&mut self.buckets, key)
            && claim.attempt == attempt
            && !matches!(claim.status, Status::Done(_))
        {
            claim.status = response.map_or(Status::Unknown, Status::Done);
        }
        Outcome::Recorded
    }

    /// Releases a claim, unless its session was ended: then others have been
    /// told that the outcome is unknown, and that must stay what they are told.
    fn release(&mut self, key: &RequestKey, attempt: Attempt) -> Outcome {
        self.unlink(key, attempt);
        for bucket in &mut self.buckets {
            let claim = bucket.claims.get(key);
            if claim.is_some_and(|c| c.attempt == attempt && c.status == Status::Running) {
                bucket.claims.remove(key);
            }
        }
        Outcome::Recorded
    }

    fn unlink(&mut self, key: &RequestKey, attempt: Attempt) {
        if let Some(keys) = self.sessions.get_mut(&attempt.session) {
            keys.remove(key);
        }
    }

    /// Drops buckets that lie wholly behind the horizon.
    fn expire(&mut self, now: u64) {
        while self.buckets.front().is_some_and(|b| b.start + BUCKET_MS + RETENTION_MS <= now) {
            self.buckets.pop_front();
        }
    }
}

fn find_claim<'b>(
    buckets: &'b mut collections::VecDeque<Bucket>,
    key: &RequestKey,
) -> Option<&'b mut Claim> {
    buckets.iter_mut().rev().find_map(|b| b.claims.get_mut(key))
}
