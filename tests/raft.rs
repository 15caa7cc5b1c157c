//! The Raft log under lost, delayed, duplicated and reordered messages, network
//! partitions, frozen and killed replicas, and lost disks.
//!
//! The tests run all replicas in one thread with simulated time and network.

#[path = "support/raft_cluster.rs"]
mod raft_cluster;

use std::{env, time::Duration};

use googletest::prelude::*;
use hornbeamdock::version::raft::{Action, Body, Event, Message, NodeId, Raft, Role};
use rand::RngExt;

use self::raft_cluster::{Cluster, ELECTION_TIMEOUT, TICK};

macro_rules! cases {
    ($($name:ident: $size:expr, $seed:expr => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                let mut cluster = Cluster::new($size, $seed);
                #[allow(clippy::redundant_closure_call)]
                ($run)(&mut cluster);
                cluster.end_faults_and_verify();
            }
        )+
    };
}

cases! {
    single_replica_commits: 1, 1 => |cluster: &mut Cluster| cluster.commit(b"a");
    three_replicas_commit: 3, 2 => |cluster: &mut Cluster| cluster.commit(b"a");
    five_replicas_commit: 5, 3 => |cluster: &mut Cluster| cluster.commit(b"a");
    leader_killed_during_an_append_loses_no_entry: 3, 4 => kill_leader_during_append;
    isolated_leader_steps_down: 3, 5 => isolate_leader;
    leader_that_receives_nothing_steps_down: 3, 6 => block_links_to_leader;
    resumed_leader_does_not_use_its_expired_lease: 3, 7 => freeze_leader;
    voter_that_lost_its_disk_does_not_vote: 3, 8 => lose_disk_of_voter;
    replica_promoted_after_disk_loss_holds_all_entries: 3, 9 => lose_disks_in_turn;
    majority_that_lost_its_disks_does_not_bootstrap: 3, 10 => lose_disks_of_majority;
    follower_behind_the_log_receives_a_snapshot: 3, 11 => compact_ahead_of_follower;
    leadership_is_transferred: 3, 12 => transfer;
    old_leader_holds_no_lease_after_a_transfer: 3, 17 => transfer_unnoticed;
    bootstrap_survives_a_restart_of_its_leader: 3, 13 => restart_during_bootstrap;
    restarted_voter_respects_the_lease: 3, 14 => restart_voter_under_lease;
    voter_that_lost_its_disk_does_not_vote_with_half_the_log: 3, 15 => receive_half_the_log;
    changes_commit_soon_after_disks_were_full_in_turn: 5, 18 => fill_disks_in_turn;
    changes_commit_soon_after_disks_of_three_were_full_in_turn: 3, 19 => fill_disks_in_turn;
    read_after_a_restart_is_not_served_by_an_earlier_reply: 3, 33 => delay_read_reply;
    reads_do_not_wait_for_the_reply_of_a_former_leader: 5, 36 => change_leader_during_reads;
}

macro_rules! initial_peers_cases {
    ($($name:ident: $size:expr, $seed:expr => $run:expr;)+) => {
        $(
            #[gtest]
            fn $name() {
                // Three initial peers; five voters tolerate the loss of two.
                let mut cluster = Cluster::with_initial_peers($size, 3, 5, $seed);
                ($run)(&mut cluster);
                cluster.end_faults_and_verify();
            }
        )+
    };
}

initial_peers_cases! {
    cluster_grows_beyond_its_initial_peers: 5, 20 => grow;
    replicas_beyond_the_maximum_of_voters_stay_learners: 7, 21 => exceed_max_voters;
    silent_voter_is_replaced_by_a_learner: 6, 22 => replace_voter;
    initial_peers_that_may_not_bootstrap_form_no_cluster: 5, 23 => lose_initial_peers_without_bootstrap;
    join_request_to_a_follower_reaches_the_leader: 5, 24 => join_through_follower;
    initial_peers_killed_during_bootstrap_form_one_cluster: 5, 25 => kill_initial_peers_during_bootstrap;
    loss_of_two_disks_loses_no_entry: 5, 26 => lose_two_disks;
    promoted_learner_that_has_not_heard_of_it_votes: 5, 28 => promote_unnoticed;
    group_forms_on_disks_slower_than_the_election_timeout: 5, 29 => form_on_slow_disks;
    learner_whose_addition_was_overwritten_joins_again: 5, 30 => overwrite_addition;
    changes_commit_soon_after_disks_of_six_were_full_in_turn: 6, 31 => fill_disks_in_turn;
    changes_commit_soon_after_disks_of_seven_were_full_in_turn: 7, 32 => fill_disks_in_turn;
    removed_voter_joins_again_while_changes_go_on: 6, 34 => remove_voter_under_changes;
    removed_voter_with_a_full_disk_joins_again_while_changes_go_on: 6, 35 => remove_full_voter;
    removed_voter_whose_disk_hung_joins_again_in_time: 6, 38 => remove_hung_voter;
    losses_after_a_replacement_and_a_change_of_leader_leave_a_majority: 5, 39 => replace_across_leaders;
    losses_after_a_planned_replacement_leave_a_majority: 5, 36 => replace_then_lose_two;
    losses_after_a_planned_replacement_of_the_leader_leave_a_majority: 5, 37 => replace_leader_then_lose_two;
}

fn grow(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.voters(), eq(&[1, 2, 3, 4, 5]));
}

fn exceed_max_voters(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.voters().len(), eq(5));
    cluster.commit(b"a");
}

/// Kills a voter and, 4 s later, two more of the five. The cluster only has a
/// quorum then if a learner has replaced the first.
fn replace_voter(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    let leader = cluster.wait_for_leader();
    let killed =
        cluster.voters().into_iter().find(|v| *v != leader).expect("cluster has another voter");
    cluster.kill(killed);
    cluster.run(Duration::from_secs(4));
    let voters = cluster.voters();
    expect_that!(voters.len(), eq(5));
    expect_that!(voters.contains(&killed), eq(false));
    let leader = cluster.wait_for_leader();
    let further: Vec<_> = voters.into_iter().filter(|v| *v != leader).take(2).collect();
    for id in &further {
        cluster.kill(*id);
    }
    cluster.commit(b"after three losses");
}

fn lose_initial_peers_without_bootstrap(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"a");
    cluster.may_bootstrap = false;
    for id in 1..=3 {
        cluster.kill(id);
        cluster.lose_disk(id);
        cluster.restart(id);
    }
    cluster.isolate(4);
    cluster.isolate(5);
    cluster.run(Duration::from_secs(10));
    for id in 1..=3 {
        let node = cluster.replicas[&id].node.as_ref().expect("replica is running");
        expect_that!(node.role(), not(eq(Role::Leader)));
    }
    // The log is lost with the disks of a majority, so the final check runs on a
    // new cluster.
    *cluster = Cluster::with_initial_peers(5, 3, 5, 27);
}

fn join_through_follower(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    let joiner =
        cluster.ids().into_iter().rfind(|id| *id != leader).expect("cluster has five replicas");
    cluster.kill(joiner);
    cluster.lose_disk(joiner);
    // Its join requests reach only followers.
    cluster.blocked_links.insert((joiner, leader));
    cluster.restart(joiner);
    cluster.run(Duration::from_secs(2));
    cluster.blocked_links.clear();
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.voters().contains(&joiner), eq(true));
}

fn kill_initial_peers_during_bootstrap(cluster: &mut Cluster) {
    for round in 0..10 {
        let id = 1 + round % 3;
        cluster.run(Duration::from_millis(30));
        cluster.kill(id);
        cluster.run(Duration::from_millis(30));
        cluster.restart(id);
    }
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.voters().len(), eq(5));
}

/// Replaces the leader after it has added a learner, which only that learner has heard of.
fn overwrite_addition(cluster: &mut Cluster) {
    let old = cluster.wait_for_leader();
    for id in (1..=3).filter(|id| *id != old) {
        cluster.blocked_links.insert((old, id));
    }
    let names_learner = |cluster: &Cluster, id: &NodeId| {
        let node = cluster.replicas[id].node.as_ref().expect("replica is running");
        !node.members().learners.is_empty()
    };
    while ![4, 5].iter().any(|id| names_learner(cluster, id)) {
        cluster.run(TICK);
    }
    cluster.isolate(old);
    let heard = (1..=3).filter(|id| names_learner(cluster, id));
    expect_that!(heard.collect::<Vec<_>>(), eq(&[old]));
    cluster.run(ELECTION_TIMEOUT * 4);
    expect_that!(cluster.wait_for_leader(), not(eq(old)));
    cluster.unblock_links();
    cluster.run(Duration::from_secs(5));
    expect_that!(cluster.voters(), eq(&[1, 2, 3, 4, 5]));
}

fn form_on_slow_disks(cluster: &mut Cluster) {
    cluster.write_time = ELECTION_TIMEOUT * 6 / 5;
    cluster.run(Duration::from_secs(25));
    expect_that!(cluster.voters(), eq(&[1, 2, 3, 4, 5]));
    cluster.commit(b"a");
}

/// Disks are full one after the other, never two at once, while changes go on; that of the
/// leader, too. Voters that are silent for so long may be replaced.
fn fill_disks_in_turn(cluster: &mut Cluster) {
    const FULL_TIME: Duration = Duration::from_millis(3_500);
    const PAUSE: Duration = Duration::from_millis(700);
    /// Within which a change must be acknowledged.
    const ACK_TIME: Duration = Duration::from_secs(4);
    cluster.run(Duration::from_secs(10));
    cluster.commit(b"before");
    let voters = cluster.voters().len();
    let ids = cluster.ids();
    let mut change = 0_u32;
    for turn in 0..2 * ids.len() {
        // Every other one is the leader's.
        let id = if turn % 2 == 0 { cluster.wait_for_leader() } else { ids[turn / 2] };
        cluster.full_until.insert(id, cluster.now + FULL_TIME);
        let end = cluster.now + FULL_TIME + PAUSE;
        while cluster.now < end {
            change += 1;
            for at in cluster.ids() {
                cluster.propose(at, &change.to_le_bytes());
            }
            cluster.run(Duration::from_millis(100));
        }
    }
    for _ in 0..20 {
        change += 1;
        let begun = cluster.now;
        cluster.commit(&change.to_le_bytes());
        expect_that!(cluster.now.saturating_sub(begun), lt(ACK_TIME));
    }
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.voters().len(), eq(voters));
}

/// Time after which a replica that is back counts as whole.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Time until a replica is connected again after its connections ended.
const RECONNECT_TIME: Duration = Duration::from_millis(300);

/// Commits a change every 100 ms.
fn change_for(cluster: &mut Cluster, span: Duration) {
    let end = cluster.now + span;
    while cluster.now < end {
        let leader = cluster.wait_for_leader();
        let change = cluster.now.as_millis().to_le_bytes();
        cluster.propose(leader, &change);
        cluster.run(Duration::from_millis(100));
    }
}

/// A voter is frozen for long enough to be replaced by the learner, and to lose its connections:
/// what it sends first is lost.
fn remove_voter_under_changes(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    let leader = cluster.wait_for_leader();
    let voters = cluster.voters();
    let silent = voters.iter().copied().find(|id| *id != leader).expect("another voter");
    cluster.set_frozen(silent, true);
    change_for(cluster, Duration::from_secs(4));
    expect_that!(cluster.voters().contains(&silent), eq(false), "it was replaced");
    cluster.set_frozen(silent, false);
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != silent).collect();
    cluster.blocked_links.extend(others.iter().map(|id| (silent, *id)));
    change_for(cluster, RECONNECT_TIME);
    cluster.unblock_links();
    change_for(cluster, CATCH_UP_TIME.saturating_sub(RECONNECT_TIME));
    expect_that!(cluster.is_member(silent), eq(true));
}

/// The disk of a voter is full for long enough for it to be replaced, and some messages to it
/// are lost.
fn remove_full_voter(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(10));
    let leader = cluster.wait_for_leader();
    let voters = cluster.voters();
    let full = voters.iter().copied().find(|id| *id != leader).expect("another voter");
    cluster.full_until.insert(full, cluster.now + Duration::from_secs(4));
    change_for(cluster, Duration::from_secs(1));
    cluster.blocked_links.extend(voters.iter().map(|id| (*id, full)));
    change_for(cluster, RECONNECT_TIME);
    cluster.unblock_links();
    change_for(cluster, Duration::from_secs(3));
    expect_that!(cluster.voters().contains(&full), eq(false), "it was replaced");
    change_for(cluster, CATCH_UP_TIME);
    expect_that!(cluster.is_member(full), eq(true));
}

/// The disk of a voter hangs in one write, for long enough for the voter to be replaced.
fn remove_hung_voter(cluster: &mut Cluster) {
    for round in 0..4_u8 {
        cluster.run(Duration::from_secs(10));
        let leader = cluster.wait_for_leader();
        let voters = cluster.voters();
        let hung = voters.iter().copied().find(|id| *id != leader).expect("another voter");
        cluster.full_until.insert(hung, cluster.now + Duration::from_secs(4));
        cluster.commit(&[round]);
        let back_at = cluster.replicas[&hung].writing_until;
        // A message to it is lost meanwhile, and it has nothing to write afterwards.
        cluster.blocked_links.extend(voters.iter().map(|id| (*id, hung)));
        cluster.run(back_at.saturating_sub(cluster.now));
        cluster.unblock_links();
        expect_that!(cluster.voters().contains(&hung), eq(false), "it was replaced");
        cluster.run((back_at + CATCH_UP_TIME).saturating_sub(cluster.now));
        expect_that!(cluster.is_member(hung), eq(true), "round {round}");
    }
}

/// A replica is gone for good; the leader is lost soon after the successor has started.
fn replace_across_leaders(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    let old = cluster.ids().into_iter().find(|id| *id != leader).expect("another replica");
    cluster.kill(old);
    cluster.run(Duration::from_secs(1));
    let whole_at = cluster.now + CATCH_UP_TIME;
    let further = cluster.add_replica();
    cluster.run(Duration::from_millis(1_300));
    cluster.kill(leader);
    cluster.lose_disk(leader);
    cluster.run(whole_at.saturating_sub(cluster.now));
    let lost = [old, leader, further];
    let other = cluster.ids().into_iter().find(|id| !lost.contains(id)).expect("another replica");
    cluster.kill(other);
    cluster.lose_disk(other);
    cluster.run(Duration::from_secs(1));
    cluster.restart(leader);
    cluster.restart(other);
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"after the losses");
}

fn replace_then_lose_two(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    let old = cluster.ids().into_iter().rfind(|id| *id != leader).expect("another replica");
    replace_and_lose_two(cluster, old);
}

fn replace_leader_then_lose_two(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    let leader = cluster.wait_for_leader();
    replace_and_lose_two(cluster, leader);
}

/// Starts a further replica, then stops `old` for good. Once the further one counts as whole,
/// two others lose their disks.
fn replace_and_lose_two(cluster: &mut Cluster, old: NodeId) {
    const STOP_TIME: Duration = Duration::from_millis(300);
    let started = cluster.now;
    let further = cluster.add_replica();
    cluster.run(Duration::from_secs(3));
    cluster.step(old, Event::Stop);
    cluster.run(STOP_TIME);
    cluster.kill(old);
    let whole_at = started + CATCH_UP_TIME;
    cluster.run(whole_at.saturating_sub(cluster.now));
    let others: Vec<_> =
        cluster.ids().into_iter().filter(|id| ![old, further].contains(id)).take(2).collect();
    for id in &others {
        cluster.kill(*id);
        cluster.lose_disk(*id);
    }
    cluster.run(Duration::from_secs(1));
    for id in others {
        cluster.restart(id);
    }
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"after the losses");
}

/// A follower restarts while the reply to a read of its earlier run is on its way.
fn delay_read_reply(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let leader = cluster.wait_for_leader();
    let follower = cluster.ids().into_iter().find(|id| *id != leader).expect("another replica");
    cluster.read(follower);
    let is_reply = |(_, to, message): &mut (Duration, NodeId, Message)| {
        *to == follower && matches!(message.body, Body::ReadIndexReply { .. })
    };
    let mut delayed = Vec::new();
    while delayed.is_empty() {
        cluster.run(TICK);
        delayed = cluster.queue.extract_if(.., is_reply).collect();
    }
    cluster.commit(b"after");
    cluster.kill(follower);
    cluster.restart(follower);
    cluster.run(Duration::from_secs(1));
    let read = cluster.read(follower);
    for (_, to, message) in delayed {
        cluster.step(to, Event::Message(message));
    }
    cluster.run(Duration::from_secs(1));
    cluster.check_history();
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(true));
}

/// The leader is lost while followers read. Soon after the next one is known, no read waits.
fn change_leader_during_reads(cluster: &mut Cluster) {
    let old = cluster.wait_for_leader();
    cluster.kill(old);
    let mut reads = Vec::new();
    while cluster.leader().is_none_or(|leader| leader == old) {
        for id in cluster.ids().into_iter().filter(|id| *id != old) {
            reads.push(cluster.read(id));
        }
        cluster.run(TICK);
    }
    cluster.run(Duration::from_millis(100));
    let finished: Vec<_> = cluster.read_results.iter().map(|(read, _)| *read).collect();
    expect_that!(reads.iter().filter(|read| !finished.contains(read)).count(), eq(0));
}

/// Promotes a learner that does not receive the entry of its promotion, then loses
/// the disks of two other voters. The remaining three voters can elect a leader
/// only if the promoted replica grants its vote.
fn promote_unnoticed(cluster: &mut Cluster) {
    let last = 5;
    cluster.wait_for_leader();
    while !cluster.is_learner(last) {
        cluster.run(TICK);
    }
    // Time for one reply to the leader. From now on it receives nothing.
    cluster.run(Duration::from_millis(30));
    for id in 1..last {
        cluster.blocked_links.insert((id, last));
    }
    while cluster.voters().len() < 5 {
        cluster.run(TICK);
    }
    cluster.isolate(last);
    cluster.commit(b"acknowledged");
    let leader = cluster.wait_for_leader();
    let behind =
        cluster.replicas[&last].node.as_ref().expect("replica is running").members().voters.len();
    expect_that!(behind, lt(5), "the promoted replica has received its promotion");
    let other = (1..=4).find(|id| *id != leader).expect("replicas 1 to 4 include a follower");
    for id in [leader, other] {
        cluster.kill(id);
        cluster.lose_disk(id);
    }
    cluster.unblock_links();
    cluster.run(Duration::from_secs(5));
    cluster.commit(b"by the three remaining voters");
}

fn lose_two_disks(cluster: &mut Cluster) {
    cluster.run(Duration::from_secs(5));
    for round in 0..5_u8 {
        cluster.commit(&[round]);
        let leader = cluster.wait_for_leader();
        let other =
            cluster.ids().into_iter().find(|id| *id != leader).expect("cluster has five replicas");
        for id in [leader, other] {
            cluster.kill(id);
            cluster.lose_disk(id);
        }
        cluster.run(Duration::from_millis(500));
        cluster.restart(leader);
        cluster.restart(other);
        cluster.run(Duration::from_secs(8));
    }
}

fn kill_leader_during_append(cluster: &mut Cluster) {
    for round in 0..5_u8 {
        let leader = cluster.wait_for_leader();
        cluster.propose(leader, &[round, 0]);
        cluster.run(TICK);
        cluster.propose(leader, &[round, 1]);
        cluster.kill(leader);
        cluster.commit(&[round, 2]);
        cluster.restart(leader);
    }
}

fn isolate_leader(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    cluster.isolate(old);
    cluster.propose(old, b"never acknowledged");
    cluster.run(ELECTION_TIMEOUT);
    let read = cluster.read(old);
    cluster.commit(b"after");
    cluster.run(Duration::from_secs(30));
    expect_that!(cluster.replicas[&old].node.as_ref().map(Raft::role), not(some(eq(Role::Leader))));
    let term = cluster.replicas[&old].node.as_ref().map(Raft::term);
    cluster.unblock_links();
    cluster.run(Duration::from_secs(2));
    // Pre-vote kept the isolated replica from raising its term.
    let leader = cluster.wait_for_leader();
    expect_that!(term, le(cluster.replicas[&leader].node.as_ref().map(Raft::term)));
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
    let acknowledged = cluster.acknowledged.values().any(|c| c == b"never acknowledged");
    expect_that!(acknowledged, eq(false));
}

fn block_links_to_leader(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    for other in cluster.ids() {
        cluster.blocked_links.insert((other, old));
    }
    cluster.run(Duration::from_secs(5));
    // It gets no replies from a quorum, so it must step down, although its own
    // heartbeats still arrive.
    cluster.commit(b"after");
    expect_that!(cluster.wait_for_leader(), not(eq(old)));
}

fn freeze_leader(cluster: &mut Cluster) {
    cluster.commit(b"before");
    let old = cluster.wait_for_leader();
    cluster.set_frozen(old, true);
    cluster.commit(b"during");
    cluster.set_frozen(old, false);
    // It must notice that its lease has expired before any message reaches it.
    let read = cluster.read(old);
    cluster.propose(old, b"late");
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.read_results.iter().any(|(r, i)| *r == read && i.is_some()), eq(false));
}

fn lose_disk_of_voter(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    let diskless =
        cluster.ids().into_iter().find(|id| *id != leader).expect("another replica exists");
    cluster.kill(diskless);
    cluster.commit(b"b");
    cluster.lose_disk(diskless);
    // Leaves only the replica that lost its disk and one other follower.
    let other_follower = cluster
        .ids()
        .into_iter()
        .find(|id| *id != leader && *id != diskless)
        .expect("another follower exists");
    cluster.isolate(other_follower);
    cluster.run(Duration::from_secs(1));
    cluster.kill(leader);
    cluster.unblock_links();
    cluster.restart(diskless);
    cluster.run(Duration::from_secs(10));
    // The replica that lost its disk must not have voted.
    expect_that!(cluster.leader(), none());
    cluster.restart(leader);
}

fn lose_disks_in_turn(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    for n in 0..3_000_u32 {
        cluster.propose(leader, &n.to_le_bytes());
    }
    cluster.run(Duration::from_secs(2));
    for diskless in [1, 2, 3, 1] {
        cluster.kill(diskless);
        cluster.lose_disk(diskless);
        cluster.commit(&diskless.to_le_bytes());
        cluster.restart(diskless);
        // The next disk is lost as soon as this replica is a voter again.
        for _ in 0..1_000 {
            let leader = cluster.wait_for_leader();
            let members = cluster.replicas[&leader].node.as_ref().map(|n| n.members().clone());
            let store_id = cluster.replicas[&diskless].disk.store_id;
            if members.is_some_and(|m| m.is_voter(diskless, store_id)) {
                let newest = cluster.acknowledged.keys().next_back().copied();
                let held = cluster.replicas[&diskless]
                    .node
                    .as_ref()
                    .map(|n| n.log().last_position().index);
                expect_that!(held, ge(newest), "a voter lacks acknowledged entries");
                break;
            }
            cluster.run(TICK);
        }
    }
}

fn lose_disks_of_majority(cluster: &mut Cluster) {
    cluster.commit(b"a");
    cluster.run(Duration::from_secs(1));
    cluster.kill(1);
    cluster.kill(2);
    let kept = (cluster.replicas[&1].disk.clone(), cluster.replicas[&2].disk.clone());
    cluster.lose_disk(1);
    cluster.lose_disk(2);
    cluster.restart(1);
    cluster.restart(2);
    cluster.run(Duration::from_secs(10));
    expect_that!(cluster.leader(), none());
    expect_that!(
        cluster.replicas[&3].node.as_ref().map(|n| n.log().last_position().index),
        some(gt(0))
    );
    // Restores the disks, so that the final check can run.
    for (id, disk) in [(1, kept.0), (2, kept.1)] {
        cluster.kill(id);
        cluster.replicas.get_mut(&id).expect("replica exists").disk = disk;
        cluster.restart(id);
    }
}

fn compact_ahead_of_follower(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let leader = cluster.wait_for_leader();
    let lagging =
        cluster.ids().into_iter().find(|id| *id != leader).expect("another replica exists");
    cluster.kill(lagging);
    for n in 0..50_u8 {
        cluster.commit(&[n]);
    }
    for id in cluster.ids() {
        if id != lagging {
            cluster.compact(id);
        }
    }
    cluster.commit(b"tail");
    cluster.restart(lagging);
    cluster.run(Duration::from_secs(2));
    expect_that!(cluster.replicas[&lagging].applied, eq(&cluster.replicas[&leader].applied));
    cluster.kill(lagging);
    cluster.restart(lagging);
}

fn transfer(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let old = cluster.wait_for_leader();
    cluster.step(old, Event::Stop);
    cluster.run(Duration::from_millis(100));
    let new = cluster.leader();
    expect_that!(new, some(not(eq(old))));
    cluster.commit(b"b");
}

fn transfer_unnoticed(cluster: &mut Cluster) {
    cluster.commit(b"a");
    let old = cluster.wait_for_leader();
    cluster.step(old, Event::Stop);
    // The old leader does not learn that its successor was elected.
    for other in cluster.ids() {
        cluster.blocked_links.insert((other, old));
    }
    cluster.run(Duration::from_secs(1));
    cluster.commit(b"b");
}

fn restart_during_bootstrap(cluster: &mut Cluster) {
    // Replica 1, which bootstraps the cluster because it has the lowest id, restarts
    // before its first entry reaches another replica.
    for _ in 0..200 {
        cluster.run(TICK);
        if cluster.replicas[&1].node.as_ref().is_some_and(|n| n.log().last_position().index > 0) {
            break;
        }
    }
    cluster.queue.clear();
    cluster.kill(1);
    cluster.run(Duration::from_secs(1));
    cluster.restart(1);
    cluster.commit(b"a");
}

fn restart_voter_under_lease(cluster: &mut Cluster) {
    cluster.commit(b"a");
    for offset in 0..100 {
        let leader = cluster.wait_for_leader();
        let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
        let (candidate, voter) = (others[0], others[1]);
        cluster.blocked_links.insert((leader, candidate));
        cluster.blocked_links.insert((candidate, leader));
        cluster.run(TICK * offset);
        // Only the replies of this voter uphold the leader's lease. The voter
        // restarts and is then asked for its vote, at varying times after the
        // leader's latest heartbeat.
        cluster.isolate(leader);
        cluster.kill(voter);
        cluster.restart(voter);
        cluster.run(ELECTION_TIMEOUT);
        cluster.unblock_links();
        cluster.run(ELECTION_TIMEOUT * 4);
    }
}

fn receive_half_the_log(cluster: &mut Cluster) {
    cluster.commit(b"start");
    let leader = cluster.wait_for_leader();
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != leader).collect();
    let (behind, diskless) = (others[0], others[1]);
    cluster.isolate(behind);
    // More entries than fit into one message. The replica that lost its disk thus
    // receives the first membership, which names it as a voter, before the later
    // one, which does not.
    for n in 0..1_500_u32 {
        cluster.propose(leader, &n.to_le_bytes());
    }
    cluster.run(Duration::from_secs(2));
    let acknowledged = cluster.acknowledged.len();
    cluster.kill(diskless);
    cluster.lose_disk(diskless);
    cluster.restart(diskless);
    for _ in 0..1_000 {
        cluster.run(Duration::from_millis(1));
        if cluster.replicas[&diskless].node.as_ref().is_some_and(|n| !n.log().is_empty()) {
            break;
        }
    }
    cluster.kill(leader);
    cluster.queue.clear();
    cluster.unblock_links();
    cluster.run(Duration::from_secs(10));
    expect_that!(acknowledged, gt(1_500));
    expect_that!(cluster.leader(), none());
    cluster.restart(leader);
}

/// Two voters lose their disks at the same time, in groups of different sizes.
#[gtest]
fn only_groups_that_survive_two_losses_recover_from_them() {
    for size in 3..=6 {
        let mut cluster = Cluster::new(size, 30 + size);
        cluster.commit(b"a");
        let leader = cluster.wait_for_leader();
        let node = cluster.replicas[&leader].node.as_ref().expect("replica is running");
        let survives = node.members().survives(2);
        for id in [1, 2] {
            cluster.kill(id);
            cluster.lose_disk(id);
        }
        cluster.run(Duration::from_millis(500));
        cluster.restart(1);
        cluster.restart(2);
        cluster.run(Duration::from_secs(10));
        expect_that!(cluster.leader().is_some(), eq(survives), "{size} voters");
    }
}

/// Asks a voter for its vote in the same term for two candidates, with a restart in
/// between. It must grant only one.
#[gtest]
fn vote_survives_a_restart() {
    let mut cluster = Cluster::new(3, 16);
    cluster.commit(b"a");
    let voter = cluster
        .ids()
        .into_iter()
        .find(|id| Some(*id) != cluster.leader())
        .expect("another replica exists");
    let others: Vec<_> = cluster.ids().into_iter().filter(|id| *id != voter).collect();
    cluster.isolate(voter);
    cluster.run(Duration::from_secs(3));
    let mut grants = 0;
    for candidate in others {
        let last = cluster.replicas[&voter].disk.restored.entries.last().map(|e| e.position);
        let body = Body::Vote { last: last.expect("voter holds entries"), transfer: false };
        let store_id = cluster.replicas[&candidate].disk.store_id;
        let message = Message { from: candidate, store_id, term: 1_000, body };
        let replica = cluster.replicas.get_mut(&voter).expect("replica exists");
        let node = replica.node.as_mut().expect("replica is running");
        for action in node.step(Event::Message(message), cluster.now) {
            match action {
                Action::Persist(write) => replica.disk.write(write),
                Action::Send { message, .. } => {
                    grants += u32::from(message.body == Body::VoteReply { granted: true });
                }
                _ => {}
            }
        }
        cluster.kill(voter);
        cluster.restart(voter);
        cluster.run(Duration::from_secs(3));
    }
    expect_that!(grants, eq(1));
}

/// Runs random sequences of kills, freezes, partitions, lost and duplicated
/// messages, and snapshots. `HORNBEAMDOCK_SEEDS` sets the number of seeds and
/// `HORNBEAMDOCK_SEED` the first. After a failure, the last seed printed is the one
/// that failed.
#[gtest]
fn random_faults_lose_nothing() {
    let count = env::var("HORNBEAMDOCK_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    let first = env::var("HORNBEAMDOCK_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    for seed in first..first + count {
        println!("seed {seed}");
        random_faults(seed);
    }
}

fn random_faults(seed: u64) {
    let size = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut cluster = Cluster::new(size, seed);
    cluster.commit(b"start");
    cluster.fault_rate = 0.05;
    for round in 0..60_u64 {
        let id = cluster.rng.random_range(1..=size);
        let down = cluster.replicas.values().filter(|r| r.node.is_none() || r.frozen).count();
        let may_stop_another = down < if size == 3 { 1 } else { 2 };
        match cluster.rng.random_range(0..9) {
            0 if may_stop_another => cluster.kill(id),
            1 if may_stop_another => cluster.set_frozen(id, true),
            2 => cluster.isolate(id),
            3 => {
                let other = cluster.rng.random_range(1..=size);
                cluster.blocked_links.insert((id, other));
            }
            4 | 5 => {
                cluster.unblock_links();
                for id in cluster.ids() {
                    cluster.set_frozen(id, false);
                    if cluster.replicas[&id].node.is_none() {
                        cluster.restart(id);
                    }
                }
            }
            6 => cluster.compact(id),
            _ => {
                cluster.read(id);
            }
        }
        for at in cluster.ids() {
            cluster.propose(at, &round.to_le_bytes());
        }
        let span = cluster.rng.random_range(10..400);
        cluster.run(Duration::from_millis(span));
        cluster.check_history();
    }
    cluster.end_faults_and_verify();
}
