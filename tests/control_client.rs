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
        peer::{Body, Call, Identity, Received, Reply, Sink, Stream},
    },
    process::clock::Clock,
    request::limit::{GrantReply, GrantRequest},
    version::raft::NodeId,
};
use tokio::{net::TcpListener, sync::mpsc};

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
    leader_is_found_by_calls_with_less_time_than_two_replies_take =>
        check_slow_replies(Slow { delay: 120, pause: 20, limit: 150 });
    leader_is_found_by_rare_calls_with_less_time_than_two_replies_take =>
        check_slow_replies(Slow { delay: 120, pause: 100, limit: 150 });
    leader_is_found_while_replies_take_half_of_a_longer_limit =>
        check_slow_replies(Slow { delay: 200, pause: 50, limit: 400 });
    leader_is_found_while_replies_take_less_than_half_of_the_limit =>
        check_slow_replies(Slow { delay: 60, pause: 20, limit: 150 });
    leader_is_found_while_replies_are_fast =>
        check_slow_replies(Slow { delay: 10, pause: 20, limit: 150 });
    call_to_a_replica_that_reads_nothing_ends_in_time => check_full_queue();
    calls_that_are_dropped_are_forgotten => check_dropped_calls();
    connection_that_is_slow_to_open_serves_the_calls_after_it => check_slow_opening();
}

/// Times in ms: of each reply, between two calls, and for which a caller waits.
#[derive(Clone, Copy, Debug)]
struct Slow {
    delay: u64,
    pause: u64,
    limit: u64,
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

/// Accepts connections whose handshake takes `opening`, and hands each over to `serve`.
async fn listen<F: Future<Output = ()> + Send + 'static>(
    opening: Duration,
    serve: impl Fn(Sink, Stream) -> F + Clone + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let serve = serve.clone();
            tokio::spawn(async move {
                tokio::time::sleep(opening).await;
                if let Ok((sink, stream)) = identity().accept(stream).await {
                    serve(sink, stream).await;
                }
            });
        }
    });
    address
}

/// Starts a replica that answers each call with `reply` after a fixed time.
async fn start_slow_replica(reply: Reply, delay: Duration) -> SocketAddr {
    listen(Duration::ZERO, move |sink, stream| answer_late(reply.clone(), delay, sink, stream))
        .await
}

async fn answer_late(reply: Reply, delay: Duration, mut sink: Sink, mut stream: Stream) {
    let (replies, mut queue) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(body) = queue.recv().await {
            identity().send(&mut sink, body).await.unwrap();
        }
    });
    while let Ok(received) = identity().receive(&mut stream).await {
        let Received::Message(Body::Call { id, .. }) = received else {
            continue;
        };
        let (reply, replies) = (reply.clone(), replies.clone());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = replies.send(Body::Reply { id, reply });
        });
    }
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

fn grant_request() -> Call {
    Call::RequestGrant(GrantRequest { workspace: "w".into(), ..Default::default() })
}

/// Replicas answer all calls late, but within the time limit of each. At least nine tenths of the
/// calls after the first second are answered.
async fn check_slow_replies(times: Slow) {
    const SPAN: Duration = Duration::from_secs(5);
    const FIRST: Duration = Duration::from_secs(1);
    let delay = Duration::from_millis(times.delay);
    let redirect = Reply::NotLeader { leader: Some(LEADER) };
    let replicas = BTreeMap::from([
        (1, start_slow_replica(redirect.clone(), delay).await),
        (2, start_slow_replica(redirect, delay).await),
        (LEADER, start_slow_replica(Reply::Grant(GrantReply::Recorded), delay).await),
    ]);
    let client = Arc::new(Client::new(identity(), replicas));
    let begun = Instant::now();
    let mut calls = Vec::new();
    while begun.elapsed() < SPAN {
        let client = client.clone();
        let counts = begun.elapsed() >= FIRST;
        let made = tokio::spawn(async move {
            let deadline = Instant::now() + Duration::from_millis(times.limit);
            client.call_leader(&grant_request(), deadline).await.is_ok()
        });
        if counts {
            calls.push(made);
        }
        tokio::time::sleep(Duration::from_millis(times.pause)).await;
    }
    let made = calls.len();
    let answered = future::join_all(calls).await.into_iter().filter(|c| matches!(c, Ok(true)));
    let answered = answered.count();
    expect_that!(10 * answered, ge(9 * made), "{answered} of {made}");
}

/// The queue of a connection is full, since the other side reads nothing.
async fn check_full_queue() {
    const LIMIT: Duration = Duration::from_millis(150);
    /// Time that a call may take beyond its limit.
    const MARGIN: Duration = Duration::from_millis(250);
    /// Bytes beyond what the buffers of a connection take.
    const FILLING: usize = 32 << 20;
    let address = listen(Duration::ZERO, |sink, stream| async move {
        future::pending::<()>().await;
        drop((sink, stream));
    });
    let client = Arc::new(Client::new(identity(), BTreeMap::from([(1, address.await)])));
    let large = || {
        let workspace = "w".repeat(1 << 20);
        Call::RequestGrant(GrantRequest { workspace, ..Default::default() })
    };
    let fill = (0..FILLING >> 20).map(|_| large());
    let queued = fill.chain((0..1_100).map(|_| grant_request()));
    for call in queued {
        let client = client.clone();
        tokio::spawn(async move { client.call(1, call, LIMIT).await });
    }
    tokio::time::sleep(LIMIT).await;
    let begun = Instant::now();
    let result = client.call(1, grant_request(), LIMIT).await;
    expect_that!(result.is_err(), eq(true));
    expect_that!(begun.elapsed(), lt(LIMIT + MARGIN));
}

/// Callers give up their calls to a replica that leaves them unanswered.
async fn check_dropped_calls() {
    const CALLS: usize = 2_000;
    let replicas = BTreeMap::from([(1, start_replica(Answer::Silent).await)]);
    let client = Client::new(identity(), replicas);
    for _ in 0..CALLS {
        let call = client.call(1, grant_request(), DEADLINE);
        let _ = tokio::time::timeout(Duration::from_micros(100), call).await;
    }
    tokio::time::sleep(DEADLINE).await;
    let _ = client.call(1, grant_request(), Duration::from_millis(1)).await;
    expect_that!(client.waiting_calls(), le(1));
}

/// Opening the connection to the leader takes longer than each caller waits.
async fn check_slow_opening() {
    const OPENING: Duration = Duration::from_millis(300);
    const LIMIT: Duration = Duration::from_millis(150);
    let leader = listen(OPENING, |sink, stream| {
        answer_late(Reply::Grant(GrantReply::Recorded), Duration::ZERO, sink, stream)
    });
    let client = Client::new(identity(), BTreeMap::from([(LEADER, leader.await)]));
    client.set_leader(LEADER);
    let mut answered = 0;
    for _ in 0..8 {
        let begun = Instant::now();
        let call = grant_request();
        let call = client.call_leader(&call, begun + LIMIT);
        // The caller goes at its time limit.
        answered += usize::from(tokio::time::timeout(LIMIT, call).await.is_ok_and(|r| r.is_ok()));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    expect_that!(answered, ge(5));
}
