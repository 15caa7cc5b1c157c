//! Which announcements a control replica sends on to the others.
//!
//! Built for 3,000 targets that announce themselves once a second to some replica. The others
//! need an announcement that changes something at once, and one that changes nothing only so
//! often that the target is not taken for down. Sending each one on took as many messages as
//! targets times replicas a second. Announcing to all replicas in place of one would need
//! nothing sent on, but as many connections and bytes at the targets.

use std::{collections, time};

use super::directory::{AnnouncedTarget, TTL};

/// An announcement that changes nothing is sent on if the one sent before is older. With one
/// announcement a second and one that is lost, less than [`TTL`] passes.
const RENEWAL_TIME: time::Duration = time::Duration::from_millis(1_100);

/// The announcements that were sent on last, by target.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use hornbeamdock::version::{directory::AnnouncedTarget, forwarding::Forwarding, view::Presence};
///
/// let mut announced = AnnouncedTarget {
///     id: "t".into(),
///     service: "advice".into(),
///     address: ([127, 0, 0, 1], 9_000).into(),
///     domain: "a".into(),
///     software: "1".into(),
///     slots: 8,
///     presence: Presence::Up,
///     incarnation: 1,
///     seq: 1,
///     holdings: Vec::new(),
///     cached_models: Vec::new(),
///     cold_left: Duration::ZERO,
/// };
/// let mut forwarding = Forwarding::default();
/// assert!(forwarding.is_due(&announced, Duration::ZERO));
/// announced.seq = 2;
/// assert!(!forwarding.is_due(&announced, Duration::from_secs(1)));
/// assert!(forwarding.is_due(&announced, Duration::from_secs(2)));
/// announced.slots = 9;
/// assert!(forwarding.is_due(&announced, Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Forwarding {
    sent: collections::BTreeMap<String, (AnnouncedTarget, time::Duration)>,
}

impl Forwarding {
    /// Returns whether an announcement is to be sent on, and if so, records that it was.
    pub fn is_due(&mut self, announced: &AnnouncedTarget, now: time::Duration) -> bool {
        let waits = self
            .sent
            .get(&announced.id)
            .is_some_and(|(sent, at)| now < *at + RENEWAL_TIME && is_same(sent, announced));
        if !waits {
            self.sent.insert(announced.id.clone(), (announced.clone(), now));
        }
        !waits
    }

    /// Forgets targets without a recent announcement to this replica.
    pub fn remove_silent(&mut self, now: time::Duration) {
        self.sent.retain(|_, (_, at)| now < *at + TTL);
    }
}

/// Returns whether an announcement says the same as an earlier one, apart from its number and the
/// time that has passed for a cold target.
fn is_same(earlier: &AnnouncedTarget, announced: &AnnouncedTarget) -> bool {
    earlier.has_same_state(announced)
        && earlier.cached_models == announced.cached_models
        && announced.seq > earlier.seq
        && announced.cold_left <= earlier.cold_left
        && announced.cold_left.is_zero() == earlier.cold_left.is_zero()
}
