//! Random days of a group of control replicas, which end with a final fault: replicas are killed,
//! frozen, cut off, replaced or lose their disks, never more at a time than the group must
//! bear, and then all lose power or two more lose their disks. The group must recover, as
//! tests of one fault at a time did not show where several follow each other.

#[path = "support/raft_cluster.rs"]
mod raft_cluster;

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    time::Duration,
};

use googletest::prelude::*;
use hornbeamdock::version::raft::{Event, NodeId};
use rand::{RngExt, seq::IndexedRandom};

use self::raft_cluster::Cluster;

/// Voters, of which [`TOLERATED_LOSSES`] may be lost at a time.
const VOTERS: usize = 5;
const TOLERATED_LOSSES: usize = 2;
/// Time for which a replica counts as lost after it is back, or a new one has started.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time in which the group must serve again after a final fault.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Seeds played if the environment names no other number.
const SEEDS: u64 = 120;

/// What happens to one replica for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Killed,
    DiskLost,
    Frozen,
    CutOff,
    /// Nothing that it sends arrives.
    Mute,
    DiskFull,
}

const FAULTS: [Fault; 6] =
    [Fault::Killed, Fault::DiskLost, Fault::Frozen, Fault::CutOff, Fault::Mute, Fault::DiskFull];

/// A day of one group.
struct Day {
    cluster: Cluster,
    /// Faults in progress, by replica, and their ends.
    faults: BTreeMap<NodeId, (Fault, Duration)>,
    /// When the replicas that are back count as whole.
    whole_at: BTreeMap<NodeId, Duration>,
    /// Replicas that were replaced.
    gone: BTreeSet<NodeId>,
    changes: u32,
}

/// Plays `HORNBEAMDOCK_SEEDS` days from seed `HORNBEAMDOCK_SEED` on. After a failure, the last
/// seed printed is the one that failed.
#[gtest]
fn group_recovers_after_a_final_fault_at_the_end_of_random_days() {
    let number = |name| env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("HORNBEAMDOCK_SEED").unwrap_or(0);
    for seed in first..first + number("HORNBEAMDOCK_SEEDS").unwrap_or(SEEDS) {
        println!("seed {seed}");
        let mut day = Day::begin(seed);
        day.play();
        day.end_faults();
        day.check_whole();
        day.strike();
        day.check_recovery();
    }
}

impl Day {
    /// Forms a group of five or six replicas.
    fn begin(seed: u64) -> Self {
        let size = 5 + seed % 2;
        let mut cluster = Cluster::with_initial_peers(size, 3, VOTERS, seed);
        cluster.run(Duration::from_secs(8));
        cluster.commit(b"start");
        cluster.may_bootstrap = false;
        let (faults, whole_at) = (BTreeMap::new(), BTreeMap::new());
        Self { cluster, faults, whole_at, gone: BTreeSet::new(), changes: 0 }
    }

    fn play(&mut self) {
        let end = self.cluster.now + Duration::from_secs(self.cluster.rng.random_range(5..40));
        while self.cluster.now < end {
            self.end_due_faults(self.cluster.now);
            match self.cluster.rng.random_range(0..100) {
                0..15 => self.begin_fault(),
                15..18 => self.replace_one(),
                18..23 => self.compact_one(),
                23 => self.vary_environment(),
                _ => {}
            }
            self.propose();
            let span = self.cluster.rng.random_range(10..300);
            self.cluster.run(Duration::from_millis(span));
        }
    }

    /// Returns the replicas that have not been replaced.
    fn present(&self) -> Vec<NodeId> {
        self.cluster.ids().into_iter().filter(|id| !self.gone.contains(id)).collect()
    }

    fn any_present(&mut self) -> NodeId {
        let present = self.present();
        *present.choose(&mut self.cluster.rng).expect("replicas are present")
    }

    /// Returns the replicas that count as lost.
    fn lost(&self) -> BTreeSet<NodeId> {
        let now = self.cluster.now;
        let not_whole = self.whole_at.iter().filter(|(_, at)| now < **at).map(|(id, _)| *id);
        self.faults.keys().copied().chain(not_whole).collect()
    }

    /// Starts a replica whose settings name three others.
    fn start(&mut self, id: NodeId) {
        self.name_peers(id);
        self.cluster.restart(id);
    }

    fn name_peers(&mut self, except: NodeId) {
        let others: Vec<_> = self.present().into_iter().filter(|id| *id != except).collect();
        let peers = others.sample(&mut self.cluster.rng, 3).copied().collect();
        self.cluster.peers = Some(peers);
    }

    fn begin_fault(&mut self) {
        let lost = self.lost();
        let id = self.any_present();
        if lost.contains(&id) || lost.len() >= TOLERATED_LOSSES {
            return;
        }
        let length = Duration::from_millis(self.cluster.rng.random_range(100..6_000));
        let end = self.cluster.now + length;
        let fault = *FAULTS.choose(&mut self.cluster.rng).expect("there are faults");
        match fault {
            Fault::Killed => self.cluster.kill(id),
            Fault::DiskLost => self.lose_disk(id),
            Fault::Frozen => self.cluster.set_frozen(id, true),
            Fault::CutOff => self.cluster.isolate(id),
            Fault::Mute => {
                let links: Vec<_> = self.cluster.ids().into_iter().map(|to| (id, to)).collect();
                self.cluster.blocked_links.extend(links);
            }
            Fault::DiskFull => drop(self.cluster.full_until.insert(id, end)),
        }
        self.faults.insert(id, (fault, end));
    }

    fn lose_disk(&mut self, id: NodeId) {
        self.cluster.kill(id);
        self.cluster.lose_disk(id);
    }

    fn end_due_faults(&mut self, now: Duration) {
        let due: Vec<_> = self.faults.extract_if(.., |_, (_, end)| now >= *end).collect();
        for (id, (fault, _)) in due {
            match fault {
                Fault::Killed | Fault::DiskLost => self.start(id),
                Fault::Frozen => self.cluster.set_frozen(id, false),
                Fault::CutOff | Fault::Mute => {
                    self.cluster.blocked_links.retain(|(from, to)| *from != id && *to != id);
                }
                Fault::DiskFull => {}
            }
            // A write may have begun just before the disk had room again.
            let back_at = self.cluster.now.max(self.cluster.replicas[&id].writing_until);
            self.whole_at.insert(id, back_at + CATCH_UP_TIME);
        }
    }

    /// Replaces a replica: as planned, after its successor has started, or without notice.
    fn replace_one(&mut self) {
        if !self.lost().is_empty() {
            return;
        }
        let old = self.any_present();
        let planned = self.cluster.rng.random_bool(0.5);
        let gap = Duration::from_millis(self.cluster.rng.random_range(200..2_000));
        if !planned {
            self.cluster.kill(old);
            self.cluster.run(gap);
        }
        self.gone.insert(old);
        self.name_peers(old);
        let successor = self.cluster.add_replica();
        self.whole_at.insert(successor, self.cluster.now + CATCH_UP_TIME);
        if planned {
            self.cluster.run(gap);
            self.cluster.step(old, Event::Stop);
            self.cluster.run(Duration::from_millis(100));
            self.cluster.kill(old);
        }
    }

    fn compact_one(&mut self) {
        let id = self.any_present();
        if !self.cluster.is_writing(id) {
            self.cluster.compact(id);
        }
    }

    fn vary_environment(&mut self) {
        let rng = &mut self.cluster.rng;
        self.cluster.write_time = Duration::from_millis(rng.random_range(0..60));
        self.cluster.fault_rate = rng.random_range(0.0..0.06);
    }

    /// Proposes a change everywhere; the leader takes it.
    fn propose(&mut self) {
        self.changes += 1;
        for id in self.present() {
            if !self.cluster.is_writing(id) {
                self.cluster.propose(id, &self.changes.to_le_bytes());
            }
        }
    }

    /// Ends all faults and gives the replicas the time to be whole again.
    fn end_faults(&mut self) {
        self.cluster.fault_rate = 0.0;
        self.cluster.full_until.clear();
        self.end_due_faults(Duration::MAX);
        let whole_at = self.whole_at.values().copied().max().unwrap_or_default();
        while self.cluster.now < whole_at {
            self.propose();
            self.cluster.run(Duration::from_millis(100));
        }
    }

    /// Checks that there are as many voters as there may be, all of them running, and that no
    /// replica is left out.
    fn check_whole(&mut self) {
        let present = self.present();
        let voters = self.cluster.voters();
        expect_that!(voters.len(), eq(VOTERS));
        expect_that!(voters.iter().all(|id| present.contains(id)), eq(true), "{voters:?}");
        for id in present {
            expect_that!(self.cluster.is_member(id), eq(true), "replica {id}");
        }
    }

    /// The final fault, shortly after a change was proposed: all lose power, or some lose their
    /// disks, or both.
    fn strike(&mut self) {
        self.propose();
        let delay = self.cluster.rng.random_range(0..60);
        self.cluster.run(Duration::from_millis(delay));
        let wiped_count = self.cluster.rng.random_range(0..=TOLERATED_LOSSES);
        let voters = self.cluster.voters();
        let wiped: Vec<_> = voters.sample(&mut self.cluster.rng, wiped_count).copied().collect();
        let power = wiped.is_empty() || self.cluster.rng.random_bool(0.7);
        for id in self.present() {
            if wiped.contains(&id) {
                self.lose_disk(id);
            } else if power {
                self.cluster.kill(id);
            }
        }
        let down = self.cluster.rng.random_range(300..3_000);
        self.cluster.run(Duration::from_millis(down));
        for id in self.present() {
            if self.cluster.replicas[&id].node.is_none() {
                self.start(id);
                let gap = self.cluster.rng.random_range(0..100);
                self.cluster.run(Duration::from_millis(gap));
            }
        }
    }

    fn check_recovery(&mut self) {
        let begun = self.cluster.now;
        self.cluster.commit(b"recovered");
        expect_that!(self.cluster.now.saturating_sub(begun), lt(RECOVERY_TIME));
        self.cluster.run(CATCH_UP_TIME);
        self.check_whole();
        self.cluster.check_history();
        let newest = self.cluster.acknowledged.keys().next_back().copied().unwrap_or(0);
        for id in self.present() {
            expect_that!(self.cluster.replicas[&id].applied_to, ge(newest), "replica {id}");
        }
    }
}
