//! The client of control replicas, while some of them do not answer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future;
use googletest::prelude::*;
use hornbeamdock::{
    connection::{
        control::Client,
        peer::{Body, Call, Identity, Received, Reply},
    },
    process::clock::Clock,
    request::limit::{GrantReply, GrantRequest},
    version::raft::NodeId,
};
use tokio::net::TcpListener;

const LEADER: NodeId = 3;
/// Time within which a call must reach the leader.
const DEADLINE: Duration = Duration::from_secs(1);

macro_rules! cases {
    ($($name:ident => $run:expr;)+) => {
        $(
            #[gtest]
            #[tokio::test]
            async fn $name() {
                $run.await;
            }
        )+
    };
}

cases! {
    leader_is_found_through_a_follower => check_first_call([Answer::Redirects, Answer::Redirects]);
    leader_is_found_without_a_hint => check_first_call([Answer::KnowsNoLeader; 2]);
    silent_replica_does_not_keep_calls_from_the_leader =>
        check_second_call([Answer::Silent, Answer::Redirects]);
    two_silent_replicas_do_not_keep_calls_from_the_leader => check_third_call();
    silent_former_leader_is_left => check_change_of_leader();
    grant_request_is_sent_to_the_next_replica_in_time => check_grant();
    leader_without_a_lease_does_not_multiply_calls => check_attempts(Answer::LacksLease);
    silent_leader_does_not_multiply_calls => check_attempts(Answer::Silent);
    absence_of_a_leader_does_not_multiply_calls => check_attempts(Answer::KnowsNoLeader);
}

/// What a stand-in for a replica answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// Nothing, as a replica on a suspended machine.
    Silent,
    /// The id of the leader.
    Redirects,
    /// That it knows no leader.
    KnowsNoLeader,
    /// As the leader.
    Leads,
    /// As a leader that can't prove that it leads.
    LacksLease,
}

fn identity() -> Identity {
    Identity::new("secret", "test", Arc::new(Clock::new()))
}

async fn start_replica(answer: Answer) -> SocketAddr {
    start_counting_replica(answer, Arc::default()).await
}

/// Starts a replica that counts the calls that it receives.
async fn start_counting_replica(answer: Answer, calls: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let calls = calls.clone();
            tokio::spawn(async move {
                let (mut sink, mut stream) = identity().accept(stream).await.unwrap();
                while let Ok(received) = identity().receive(&mut stream).await {
                    let Received::Message(Body::Call { id, .. }) = received else {
                        continue;
                    };
                    calls.fetch_add(1, Ordering::Relaxed);
                    let reply = match answer {
                        Answer::Silent => continue,
                        Answer::Redirects | Answer::LacksLease => {
                            Reply::NotLeader { leader: Some(LEADER) }
                        }
                        Answer::KnowsNoLeader => Reply::NotLeader { leader: None },
                        Answer::Leads => Reply::Grant(GrantReply::Recorded),
                    };
                    identity().send(&mut sink, Body::Reply { id, reply }).await.unwrap();
                }
            });
        }
    });
    address
}

/// Starts replicas 1 and 2 with these answers, and replica 3 as the leader.
async fn client([first, second]: [Answer; 2]) -> Client {
    let replicas = BTreeMap::from([
        (1, start_replica(first).await),
        (2, start_replica(second).await),
        (LEADER, start_replica(Answer::Leads).await),
    ]);
    Client::new(identity(), replicas)
}

/// Makes a call to the leader; returns whether it was answered.
async fn call(client: &Client) -> bool {
    let call = Call::RequestPlacement {
        requirement: hornbeamdock::version::directory::Requirement {
            service: "s".into(),
            model: "m".into(),
            adapter: None,
        },
        software: None,
        lacking: Vec::new(),
        exclude: Vec::new(),
        max_wait: Duration::ZERO,
    };
    client.call_leader(&call, Instant::now() + DEADLINE).await.is_ok()
}

async fn check_first_call(followers: [Answer; 2]) {
    let client = client(followers).await;
    expect_that!(call(&client).await, eq(true));
}

/// The first call may be lost at the silent replica, since it may not be repeated.
async fn check_second_call(followers: [Answer; 2]) {
    let client = client(followers).await;
    call(&client).await;
    expect_that!(call(&client).await, eq(true));
}

async fn check_third_call() {
    let client = client([Answer::Silent, Answer::Silent]).await;
    call(&client).await;
    call(&client).await;
    expect_that!(call(&client).await, eq(true));
}

/// The followers still name a former leader that no longer answers.
async fn check_change_of_leader() {
    let replicas = BTreeMap::from([
        (1, start_replica(Answer::Redirects).await),
        (2, start_replica(Answer::Leads).await),
        (LEADER, start_replica(Answer::Silent).await),
    ]);
    let client = Client::new(identity(), replicas);
    call(&client).await;
    expect_that!(call(&client).await, eq(true));
}

/// A grant request may be repeated, so one call reaches the leader past a silent replica.
async fn check_grant() {
    let client = client([Answer::Silent, Answer::Redirects]).await;
    let call = Call::RequestGrant(GrantRequest { workspace: "w".into(), ..Default::default() });
    let answered = client.call_leader(&call, Instant::now() + DEADLINE).await;
    expect_that!(answered.is_ok(), eq(true));
}

/// While the leader answers like this, each of many calls is sent twice at most.
async fn check_attempts(answer: Answer) {
    const CALLS: usize = 60;
    let received = Arc::<AtomicUsize>::default();
    let follower =
        if answer == Answer::KnowsNoLeader { Answer::KnowsNoLeader } else { Answer::Redirects };
    let replicas = BTreeMap::from([
        (1, start_counting_replica(follower, received.clone()).await),
        (2, start_counting_replica(follower, received.clone()).await),
        (LEADER, start_counting_replica(answer, received.clone()).await),
    ]);
    let client = Client::new(identity(), replicas);
    let call = Call::RequestGrant(GrantRequest { workspace: "w".into(), ..Default::default() });
    let deadline = Instant::now() + DEADLINE;
    let calls = (0..CALLS).map(|_| client.call_leader(&call, deadline));
    let answered = future::join_all(calls).await.into_iter().flatten().count();
    expect_that!(answered, eq(0));
    expect_that!(received.load(Ordering::Relaxed), le(2 * CALLS));
}
