//! Connections between processes of different builds: the handshake, messages that one side
//! does not know, and fields that were added later.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use hornbeamdock::{
    connection::peer::{
        BUILD, Body, Builds, Call, Connected, Frame, Gossip, Hello, Identity, Process, Received,
        Reply, Sink, Status, Stream, SyncReply, SyncRequest, TrafficDifference,
        version::{self, Range},
    },
    process::clock::Clock,
    version::{
        difference::Position,
        directory::AnnouncedTarget,
        raft,
        traffic::{BrittleService, LeavingTarget, Load, Pace, PaceFigure, Placed, Report},
    },
};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const SECRET: &str = "a secret of the tests";

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
    processes_of_this_build_use_the_latest_version => current();
    build_of_version_3_connects => old_connects(3);
    build_of_version_2_connects => old_connects(2);
    build_of_version_3_is_connected_at_once => old_accepts(3, 1);
    build_of_version_2_is_connected_at_the_second_attempt => old_accepts(2, 2);
    process_that_was_replaced_by_a_later_build_is_connected => replaced();
    build_of_version_1_is_turned_down => unknown_version();
    other_secret_is_turned_down => other_secret();
    process_of_this_build_states_its_build => build();
    process_of_version_3_states_no_build => build_of_version_3();
    builds_in_a_status_are_received_by_this_build => status_fields();
    version_3_reads_a_status_without_builds => status_fields_of_version_3();
    traffic_fields_are_received_by_this_build => traffic_fields();
    speeds_beside_a_difference_are_received_by_this_build => difference_speeds();
    version_3_reads_the_fields_that_it_knows => traffic_fields_of_version_3();
    time_that_targets_stay_cold_reaches_this_build => cold_fields();
    software_version_is_left_out_in_version_2 => announcement_of_version_2();
    call_that_the_other_build_does_not_know_is_not_sent =>
        unsupported(3, Body::Call { id: 1, call: Call::UpdatePlaces { gateway: 1, updates: vec![] } });
    placement_within_failure_domains_is_not_sent_to_version_3 =>
        unsupported(3, placement_within());
    notice_of_a_planned_stop_is_not_sent_to_version_3 => unsupported(3, stop_notice());
    notice_of_a_planned_stop_is_not_sent_to_version_2 => unsupported(2, stop_notice());
    unknown_call_is_answered_and_the_connection_lives_on => unknown_call();
    batch_of_announcements_is_not_sent_to_version_3 =>
        unsupported(3, Body::Gossip { from: 1, gossip: Gossip::TargetsAnnounced(vec![]) });
    difference_of_traffic_is_not_sent_to_version_2 =>
        unsupported(2, Body::Gossip { from: 1, gossip: Gossip::TrafficDifference(Box::default()) });
    position_of_loads_is_received_by_this_build => known_loads();
    version_3_reads_a_sync_call_without_the_position => known_loads_of_version_3();
    garbled_message_does_not_end_the_connection => garbled();
}

fn identity() -> Identity {
    Identity::new(SECRET, "new", Arc::new(Clock::new()))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().new_codec()
}

fn stamp() -> hornbeamdock::process::clock::Stamp {
    Clock::new().stamp()
}

/// A build that speaks one version only: both sides send their hello at once, and another
/// version ends the connection.
async fn old_handshake(
    stream: TcpStream,
    protocol: u32,
) -> Option<Framed<TcpStream, LengthDelimitedCodec>> {
    let mut framed = Framed::new(stream, codec());
    let hello = Hello { protocol, secret: SECRET.into(), process: "old".into() };
    let frame = Frame { stamp: stamp(), body: Body::Hello(hello) };
    framed.send(Bytes::from(postcard::to_stdvec(&frame).unwrap())).await.ok()?;
    let received: Frame = postcard::from_bytes(&framed.next().await?.ok()?).unwrap();
    let Body::Hello(hello) = received.body else {
        return None;
    };
    (hello.protocol == protocol && hello.secret == SECRET).then_some(framed)
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns both ends of a connection between processes of this build.
async fn pair() -> ((Sink, Stream), (Sink, Stream)) {
    let (listener, address) = listener().await;
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        identity().accept(stream).await.unwrap()
    };
    let connecting = async {
        let stream = TcpStream::connect(address).await.unwrap();
        identity().handshake(stream).await.unwrap()
    };
    tokio::join!(connecting, accepting)
}

async fn current() {
    let ((sink, _), (accepted, _)) = pair().await;
    expect_that!(sink.version(), eq(version::LATEST));
    expect_that!(accepted.version(), eq(version::LATEST));
}

async fn old_connects(protocol: u32) {
    let (listener, address) = listener().await;
    let connecting = async {
        let stream = TcpStream::connect(address).await.unwrap();
        old_handshake(stream, protocol).await
    };
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        identity().accept(stream).await
    };
    let (old, new) = tokio::join!(connecting, accepting);
    expect_that!(old.is_some(), eq(true));
    expect_that!(new.unwrap().0.version(), eq(protocol));
}

/// Connects to an old build until that succeeds; returns the number of attempts.
async fn attempts(identity: &Identity, listener: &TcpListener, protocol: u32) -> usize {
    let address = listener.local_addr().unwrap();
    for attempt in 1..=4 {
        let accepting = async {
            let (stream, _) = listener.accept().await.unwrap();
            old_handshake(stream, protocol).await
        };
        let connecting = async {
            let stream = TcpStream::connect(address).await.unwrap();
            identity.handshake(stream).await
        };
        let (old, new) = tokio::join!(accepting, connecting);
        if let (Some(_), Ok((sink, _))) = (old, new) {
            expect_that!(sink.version(), eq(protocol));
            return attempt;
        }
    }
    usize::MAX
}

async fn old_accepts(protocol: u32, expected: usize) {
    let (listener, _) = listener().await;
    expect_that!(attempts(&identity(), &listener, protocol).await, eq(expected));
}

async fn replaced() {
    let (listener, address) = listener().await;
    let identity = identity();
    expect_that!(attempts(&identity, &listener, 2).await, eq(2));
    expect_that!(attempts(&identity, &listener, 3).await, eq(2));
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        Identity::new(SECRET, "newer", Arc::new(Clock::new())).accept(stream).await
    };
    let connecting = async {
        let stream = TcpStream::connect(address).await.unwrap();
        identity.handshake(stream).await
    };
    let (_, connected) = tokio::join!(accepting, connecting);
    expect_that!(connected.unwrap().0.version(), eq(version::LATEST));
}

async fn unknown_version() {
    let (listener, _) = listener().await;
    expect_that!(attempts(&identity(), &listener, 1).await, eq(usize::MAX));
    expect_that!(Range::OWN.common(Range::single(1)), none());
}

async fn other_secret() {
    let (listener, address) = listener().await;
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        identity().accept(stream).await
    };
    let connecting = async {
        let stream = TcpStream::connect(address).await.unwrap();
        Identity::new("another secret", "new", Arc::new(Clock::new())).handshake(stream).await
    };
    let (accepted, connected) = tokio::join!(accepting, connecting);
    expect_that!(accepted.is_err(), eq(true));
    expect_that!(connected.is_err(), eq(true));
}

async fn build() {
    let ((sink, _), (accepted, _)) = pair().await;
    let process = Process { name: "new".into(), build: Some(BUILD.into()), messages: Range::OWN };
    expect_that!(sink.other(), some(eq(&process)));
    expect_that!(accepted.other(), some(eq(&process)));
}

async fn build_of_version_3() {
    let (listener, address) = listener().await;
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        identity().accept(stream).await.unwrap()
    };
    let connecting = async {
        let stream = TcpStream::connect(address).await.unwrap();
        old_handshake(stream, 3).await.unwrap()
    };
    let ((sink, _), _) = tokio::join!(accepting, connecting);
    let process = Process { name: "old".into(), build: None, messages: Range::single(3) };
    expect_that!(sink.other(), some(eq(&process)));
}

fn status() -> Body {
    let own = Process { name: "control-1".into(), build: Some("b".into()), messages: Range::OWN };
    let process = Process { name: "entry".into(), build: None, messages: Range::single(3) };
    let builds = Builds { own, connected: vec![Connected { process, version: 3 }] };
    let status = Status {
        node: 1,
        role: "leader".into(),
        leader: Some(1),
        term: 2,
        commit: 3,
        applied: 3,
        entries: 3,
        voters: vec![1],
        learners: Vec::new(),
        claims: 0,
        sessions: Vec::new(),
        builds: Some(builds),
    };
    Body::Reply { id: 7, reply: Reply::Status(Box::new(status)) }
}

fn builds(body: &Body) -> Option<&Builds> {
    let Body::Reply { id: 7, reply: Reply::Status(status) } = body else {
        panic!("received {body:?}");
    };
    status.builds.as_ref()
}

async fn status_fields() {
    let ((mut sink, _), (_, mut stream)) = pair().await;
    identity().send(&mut sink, status()).await.unwrap();
    let Received::Message(received) = identity().receive(&mut stream).await.unwrap() else {
        panic!("not decoded");
    };
    expect_that!(builds(&received), eq(builds(&status())));
}

async fn status_fields_of_version_3() {
    let bytes = received_by_old(3, status()).await;
    let frame: Frame = postcard::from_bytes(&bytes).unwrap();
    expect_that!(builds(&frame.body), none());
}

fn report() -> Report {
    Report {
        loads: vec![Load {
            target: "t".into(),
            running: 2,
            prompt_tokens: 30,
            placed: vec![Placed { term: 4, count: 1 }],
        }],
        brittle_services: vec![BrittleService { service: "s".into(), rejection_limit: 3 }],
        leaving: vec![LeavingTarget { id: "t".into(), incarnation: 7 }],
        paces: vec![Pace {
            subject: u64::MAX,
            pool: 6,
            prefill: PaceFigure { value: -3, weight: 16 },
            step: PaceFigure { value: i16::MAX, weight: u8::MAX },
        }],
        ..Report::default()
    }
}

fn traffic() -> Body {
    Body::Gossip { from: 1, gossip: Gossip::Traffic(report()) }
}

async fn traffic_fields() {
    let ((mut sink, _), (_, mut stream)) = pair().await;
    identity().send(&mut sink, traffic()).await.unwrap();
    let received = identity().receive(&mut stream).await.unwrap();
    let Received::Message(Body::Gossip { gossip: Gossip::Traffic(received), .. }) = received else {
        panic!("received {received:?}");
    };
    expect_that!(received, eq(&report()));
}

/// Replicas that exchange differences must tell one another the speeds of targets too.
async fn difference_speeds() {
    let sent = TrafficDifference { paces: report().paces, ..TrafficDifference::default() };
    let ((mut sink, _), (_, mut stream)) = pair().await;
    let gossip = Gossip::TrafficDifference(Box::new(sent.clone()));
    identity().send(&mut sink, Body::Gossip { from: 1, gossip }).await.unwrap();
    let received = identity().receive(&mut stream).await.unwrap();
    let Received::Message(Body::Gossip { gossip: Gossip::TrafficDifference(received), .. }) =
        received
    else {
        panic!("received {received:?}");
    };
    expect_that!(*received, eq(&sent));
}

/// Returns what an old build receives when this build sends `body`.
async fn received_by_old(protocol: u32, body: Body) -> Bytes {
    let (listener, address) = listener().await;
    let sending = async {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut sink, stream) = identity().accept(stream).await.unwrap();
        identity().send(&mut sink, body).await.unwrap();
        (sink, stream)
    };
    let receiving = async {
        let stream = TcpStream::connect(address).await.unwrap();
        let mut framed = old_handshake(stream, protocol).await.unwrap();
        framed.next().await.unwrap().unwrap().freeze()
    };
    tokio::join!(sending, receiving).1
}

fn sync_call() -> Body {
    let request = SyncRequest {
        gateway_id: 1,
        index: 2,
        epoch: 3,
        revision: 4,
        report: Report::default(),
        supplemented_at: 0,
        known_loads: Some(Position { epoch: 5, revision: 6 }),
    };
    Body::Call { id: 1, call: Call::Sync(request) }
}

async fn known_loads() {
    let ((mut sink, _), (_, mut stream)) = pair().await;
    identity().send(&mut sink, sync_call()).await.unwrap();
    let received = identity().receive(&mut stream).await.unwrap();
    let Received::Message(Body::Call { call: Call::Sync(request), .. }) = received else {
        panic!("received {received:?}");
    };
    expect_that!(request.known_loads, some(eq(Position { epoch: 5, revision: 6 })));
}

async fn known_loads_of_version_3() {
    let bytes = received_by_old(3, sync_call()).await;
    let frame: Frame = postcard::from_bytes(&bytes).unwrap();
    let Body::Call { call: Call::Sync(request), .. } = frame.body else {
        panic!("received {:?}", frame.body);
    };
    expect_that!((request.revision, request.known_loads), eq((4, None)));
}

async fn traffic_fields_of_version_3() {
    let bytes = received_by_old(3, traffic()).await;
    let frame: Frame = postcard::from_bytes(&bytes).unwrap();
    let Body::Gossip { gossip: Gossip::Traffic(received), .. } = frame.body else {
        panic!("received {:?}", frame.body);
    };
    let load = Load { target: "t".into(), running: 2, prompt_tokens: 30, placed: Vec::new() };
    expect_that!(received, eq(&Report { loads: vec![load], ..Report::default() }));
}

/// The encoding of version 2 of an announcement, up to the slots.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldAnnouncement {
    stamp: hornbeamdock::process::clock::Stamp,
    gossip: u32,
    from: u64,
    announced: u32,
    id: String,
    service: String,
    address: SocketAddr,
    domain: String,
    slots: u32,
}

fn announced() -> AnnouncedTarget {
    AnnouncedTarget {
        id: "t".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "a".into(),
        software: "v1".into(),
        slots: 6,
        presence: hornbeamdock::version::view::Presence::Up,
        incarnation: 7,
        seq: 9,
        holdings: Vec::new(),
        cached_models: Vec::new(),
        cold_left: Duration::ZERO,
    }
}

/// A target that is cold must not count as warm at the replicas and gateways that hear of it from
/// a replica.
async fn cold_fields() {
    let cold = AnnouncedTarget { cold_left: Duration::from_millis(1_500), ..announced() };
    let gossip = Gossip::TargetAnnounced(cold.clone());
    let reply = SyncReply {
        update: None,
        domain: "a".into(),
        epoch: 1,
        revision: 2,
        changed_targets: vec![announced(), cold],
        report: Report::default(),
        reporting_gateways: 1,
        known_gateways: 1,
        replicas: vec![1],
        supplement: None,
        loads: None,
    };
    let reply = Body::Reply { id: 1, reply: Reply::Sync(Box::new(reply)) };
    for body in [Body::Gossip { from: 1, gossip }, reply] {
        let ((mut sink, _), (_, mut stream)) = pair().await;
        identity().send(&mut sink, body.clone()).await.unwrap();
        let received = identity().receive(&mut stream).await.unwrap();
        let Received::Message(received) = received else {
            panic!("received {received:?}");
        };
        expect_that!(format!("{received:?}"), eq(&format!("{body:?}")));
    }
}

async fn announcement_of_version_2() {
    let body = Body::Gossip { from: 1, gossip: Gossip::TargetAnnounced(announced()) };
    let bytes = received_by_old(2, body).await;
    let (received, _) = postcard::take_from_bytes::<OldAnnouncement>(&bytes).unwrap();
    expect_that!(received.domain, eq("a"));
    expect_that!(received.slots, eq(6));
}

fn stop_notice() -> Body {
    Body::Raft(raft::Message { from: 1, store_id: 7, term: 1, body: raft::Body::Leaving })
}

fn placement_within() -> Body {
    let requirement = hornbeamdock::version::directory::Requirement {
        service: "llm".into(),
        model: "m".into(),
        adapter: None,
    };
    let call = Call::RequestPlacementWithin {
        domains: vec!["north".into()],
        requirement,
        software: None,
        lacking: Vec::new(),
        exclude: Vec::new(),
        max_wait: Duration::from_secs(1),
    };
    Body::Call { id: 1, call }
}

/// A message that a build of this version does not know is not sent to it, and the connection
/// lives on.
async fn unsupported(protocol: u32, body: Body) {
    let (listener, address) = listener().await;
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        let connected = old_handshake(stream, protocol).await;
        let mut framed = match connected {
            Some(framed) => framed,
            // The first offer of a process is a later version.
            None => old_handshake(listener.accept().await.unwrap().0, protocol).await.unwrap(),
        };
        framed.next().await.unwrap().unwrap()
    };
    let calling = async {
        let identity = identity();
        let connect = || async { TcpStream::connect(address).await.unwrap() };
        let (mut sink, stream) = match identity.handshake(connect().await).await {
            Ok(connected) => connected,
            Err(_) => identity.handshake(connect().await).await.unwrap(),
        };
        let sent = identity.send(&mut sink, body).await;
        expect_that!(sent.is_err_and(|error| error.is_recoverable()), eq(true));
        identity.send(&mut sink, Body::Call { id: 2, call: Call::Status }).await.unwrap();
        (sink, stream)
    };
    let (bytes, _) = tokio::join!(accepting, calling);
    let frame: Frame = postcard::from_bytes(&bytes).unwrap();
    expect_that!(matches!(frame.body, Body::Call { id: 2, call: Call::Status }), eq(true));
}

/// A call of a later build.
#[derive(Serialize)]
struct LaterCall {
    stamp: hornbeamdock::process::clock::Stamp,
    message: u32,
    id: u64,
    call: u32,
    argument: u32,
}

/// Sends bytes to this build, and then a call that it knows; returns what it received.
async fn received_after(bytes: Vec<u8>) -> [Received; 2] {
    let (listener, address) = listener().await;
    let receiving = async {
        let (stream, _) = listener.accept().await.unwrap();
        let (_sink, mut stream) = identity().accept(stream).await.unwrap();
        let first = identity().receive(&mut stream).await.unwrap();
        [first, identity().receive(&mut stream).await.unwrap()]
    };
    let sending = async {
        let stream = TcpStream::connect(address).await.unwrap();
        let mut framed = old_handshake(stream, 3).await.unwrap();
        framed.send(Bytes::from(bytes)).await.unwrap();
        let body = Body::Call { id: 2, call: Call::Status };
        let frame = postcard::to_stdvec(&Frame { stamp: stamp(), body }).unwrap();
        framed.send(Bytes::from(frame)).await.unwrap();
        framed
    };
    let both = async { tokio::join!(receiving, sending).0 };
    tokio::time::timeout(Duration::from_secs(5), both).await.unwrap()
}

async fn unknown_call() {
    let later = LaterCall { stamp: stamp(), message: 2, id: 41, call: 90, argument: 1 };
    let [first, second] = received_after(postcard::to_stdvec(&later).unwrap()).await;
    expect_that!(matches!(first, Received::UnknownCall { id: 41 }), eq(true));
    expect_that!(matches!(second, Received::Message(Body::Call { id: 2, .. })), eq(true));
    // The reply is one that only a build which may add calls can get.
    let reply = Body::Reply { id: 41, reply: Reply::Unsupported };
    expect_that!(reply.since(), eq(4));
}

async fn garbled() {
    let [first, second] = received_after(vec![0xff; 40]).await;
    expect_that!(matches!(first, Received::Unknown), eq(true));
    expect_that!(matches!(second, Received::Message(Body::Call { id: 2, .. })), eq(true));
}
