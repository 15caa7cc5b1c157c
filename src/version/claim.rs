//! Claims: replicated records of non-idempotent requests that may have been sent
//! to a target.
//!
//! A claim is committed to the log before the first byte of its request is sent.
//! Only one attempt can hold the claim of a request, and it sends the request at
//! most once. Claims are kept in time buckets that are dropped as a whole, so
//! expiry costs nothing per claim and the retention period is exact to one
//! bucket.

use std::collections;

use serde::{Deserialize, Serialize};

/// Minimum time for which a claim is kept, in ms of log time.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Time span of a bucket, in ms of log time.
const BUCKET_MS: u64 = 60 * 60 * 1_000;

/// Largest response body that is recorded, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Identifies a gateway process. A process whose session was ended begins a new
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Session(pub u64);

/// Attempt of a gateway to run a request. Retries of its claim command reuse it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// Session of the gateway.
    pub session: Session,
    /// Number of the attempt, unique within the session.
    pub number: u64,
}

/// Identifies a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// Workspace of the API key sent with the request; empty on a public route.
    pub workspace: String,
    /// Name of the route.
    pub route: String,
    /// Idempotency key chosen by the caller.
    pub idempotency_key: String,
}

/// SHA-256 digest of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

/// Response that was sent to the caller, kept for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if the target sent one.
    pub content_type: Option<String>,
    /// Body, or `None` if it exceeds [`MAX_RESPONSE_BYTES`].
    pub body: Option<Vec<u8>>,
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The attempt that holds the claim may be running the request.
    Running,
    /// The request ran and got this response.
    Done(StoredResponse),
    /// The request may have run: the response was lost, or the session ended.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    digest: RequestDigest,
    attempt: Attempt,
    status: Status,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Bucket {
    start: u64,
    claims: collections::BTreeMap<RequestKey, Claim>,
}

/// A command of the replicated log that changes the claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Acquires the claim of a request, if no other attempt has it.
    Claim {
        /// Request.
        key: RequestKey,
        /// Digest of the request.
        digest: RequestDigest,
        /// Attempt that will run the request.
        attempt: Attempt,
    },
    /// Records the outcome of a claimed request.
    Finish {
        /// Request.
        key: RequestKey,
        /// Attempt that acquired the claim.
        attempt: Attempt,
        /// Response, or `None` if it was lost.
        response: Option<StoredResponse>,
    },
    /// Releases the claim of a request that was not sent.
    Release {
        /// Request.
        key: RequestKey,
        /// Attempt that acquired the claim.
        attempt: Attempt,
    },
}

/// Result of a claim command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// This attempt holds the claim and may send the request.
    Acquired,
    /// Another attempt may be running the request.
    Running,
    /// The request ran and got this response.
    Done(StoredResponse),
    /// The request may have run, and will not be run again.
    Unknown,
    /// The idempotency key was used for a request with another digest.
    DigestMismatch,
    /// The session of the attempt has ended or never began.
    SessionEnded,
    /// The command was a finish or release; it may have had no effect.
    Recorded,
}

/// Claims within the retention period, and the sessions that may hold them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// In ascending order of `start`.
    buckets: collections::VecDeque<Bucket>,
    /// Live sessions, each with the requests that it may be running.
    sessions: collections::BTreeMap<Session, collections::BTreeSet<RequestKey>>,
}

impl Claims {
    /// Applies a command at `now`, in ms of log time.
    pub fn apply(&mut self, command: &Command, now: u64) -> Outcome {
        match command {
            Command::Claim { key, digest, attempt } => self.claim(key, *digest, *attempt, now),
            Command::Finish { key, attempt, response } => {
                self.finish(key, *attempt, response.clone())
            }
            Command::Release { key, attempt } => self.release(key, *attempt),
        }
    }

    /// Begins a session; without effect if it is live.
    pub fn begin_session(&mut self, session: Session) {
        self.sessions.entry(session).or_default();
    }

    /// Ends a session. The requests that it was running get an unknown outcome.
    pub fn end_session(&mut self, session: Session) {
        for key in self.sessions.remove(&session).into_iter().flatten() {
            if let Some(claim) = find_claim(&mut self.buckets, &key)
                && claim.status == Status::Running
            {
                claim.status = Status::Unknown;
            }
        }
    }

    /// Returns the sessions that have begun and not ended.
    pub fn sessions(&self) -> impl Iterator<Item = Session> + '_ {
        self.sessions.keys().copied()
    }

    /// Returns true if the session has begun and not ended.
    #[must_use]
    pub fn is_session_live(&self, session: Session) -> bool {
        self.sessions.contains_key(&session)
    }

    /// Returns the number of claims, including those that have expired since the
    /// latest claim command.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|b| b.claims.len()).sum()
    }

    /// Returns true if there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn claim(
        &mut self,
        key: &RequestKey,
        digest: RequestDigest,
        attempt: Attempt,
        now: u64,
    ) -> Outcome {
        self.expire(now);
        if !self.sessions.contains_key(&attempt.session) {
            return Outcome::SessionEnded;
        }
        if let Some(claim) = find_claim(&mut self.buckets, key) {
            if claim.digest != digest {
                return Outcome::DigestMismatch;
            }
            return match &claim.status {
                // A gateway repeats the command of the same attempt if it did not
                // learn the outcome.
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
            bucket.claims.insert(key.clone(), Claim { digest, attempt, status: Status::Running });
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
        self.remove_from_session(key, attempt);
        if let Some(claim) = find_claim(&mut self.buckets, key)
            && claim.attempt == attempt
            && !matches!(claim.status, Status::Done(_))
        {
            claim.status = response.map_or(Status::Unknown, Status::Done);
        }
        Outcome::Recorded
    }

    /// Releases a claim, unless its session has ended: other attempts may have
    /// been told that the outcome is unknown, and later ones must be told the
    /// same.
    fn release(&mut self, key: &RequestKey, attempt: Attempt) -> Outcome {
        self.remove_from_session(key, attempt);
        for bucket in &mut self.buckets {
            let claim = bucket.claims.get(key);
            if claim.is_some_and(|c| c.attempt == attempt && c.status == Status::Running) {
                bucket.claims.remove(key);
            }
        }
        Outcome::Recorded
    }

    fn remove_from_session(&mut self, key: &RequestKey, attempt: Attempt) {
        if let Some(keys) = self.sessions.get_mut(&attempt.session) {
            keys.remove(key);
        }
    }

    /// Drops the buckets whose claims are all older than the retention period.
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
