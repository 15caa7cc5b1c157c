//! Serves the connections of gateways and other replicas.

use std::{
    sync::{
        self,
        atomic::{self, AtomicUsize},
    },
    time,
};

use tokio::{net as tnet, runtime, sync as tsync};

use crate::{
    connection::{peer, socket},
    process::{replica::ProposalResult, timeline},
    request::limit,
    version::{announce, difference::Loads, placer, raft},
};

use super::{PROCESS_PREFIX, handle::Handle, places, placing, work::Work};

/// Maximum number of replies queued for one connection. Further replies wait.
const REPLY_QUEUE_CAPACITY: usize = 1_024;

/// Bytes of loads queued for one connection, above which further replies have none.
const QUEUED_LOAD_BYTES: usize = 512 << 10;

/// Whole directories that are prepared for gateways at the same time. At 3,000 targets each may
/// take 5 MB until it is encoded.
const MAX_WHOLE_REPLIES: usize = 4;

/// Time for a whole directory to be encoded, before the next one is prepared.
const WHOLE_REPLY_TIME: time::Duration = time::Duration::from_millis(10);

/// About the bytes of a load or a rate in a queued reply.
const LOAD_BYTES: usize = 24;

/// Delay before the next connection is accepted, after one could not be.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Serves the connections of gateways and other replicas.
#[derive(Clone)]
pub(super) struct Server {
    pub(super) handle: Handle,
    pub(super) identity: peer::Identity,
    /// Name of this process.
    pub(super) process: String,
    pub(super) timeline: sync::Arc<timeline::Timeline>,
    pub(super) placer: Option<sync::Arc<placing::PlacerLoop>>,
    pub(super) place_loop: sync::Arc<places::PlaceLoop>,
    /// Where the connections of gateways are served.
    pub(super) gateway_runtime: runtime::Handle,
    pub(super) whole_replies: WholeReplies,
}

/// Limits the whole directories that are prepared at the same time. After a start of everything,
/// or the loss of a replica, all gateways need one at once.
#[derive(Clone)]
pub(super) struct WholeReplies(sync::Arc<tsync::Semaphore>);

impl WholeReplies {
    pub(super) fn new() -> Self {
        Self(sync::Arc::new(tsync::Semaphore::new(MAX_WHOLE_REPLIES)))
    }

    /// Waits until a further one may be prepared. It counts until the permit is dropped.
    async fn begin(&self) -> Option<tsync::OwnedSemaphorePermit> {
        self.0.clone().acquire_owned().await.ok()
    }
}

/// Accepts connections on the current runtime until it is cancelled.
pub(super) async fn accept(listener: tnet::TcpListener, server: Server) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(server.clone().serve(stream));
                }
                Err(error) => {
                    spdlog::warn!("a connection could not be accepted", kv: {
                        reason = error.to_string().as_str()
                    });
                    // Without free descriptors the next attempt fails at once, too.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

impl Server {
    /// Serves one connection until it closes or fails: that of another replica on the current
    /// runtime, others on that for gateways.
    async fn serve(self, stream: tnet::TcpStream) {
        if socket::configure(&stream).is_err() {
            return;
        }
        let Ok((sink, stream)) = self.identity.accept(stream).await else {
            return;
        };
        if is_replica(&sink) {
            return self.serve_calls(sink, stream).await;
        }
        let Ok(detached) = peer::detach(sink, stream) else {
            return;
        };
        let runtime = self.gateway_runtime.clone();
        let serving = runtime.spawn(async move {
            if let Ok((sink, stream)) = detached.attach() {
                self.serve_calls(sink, stream).await;
            }
        });
        // Ends the connection, too, if this task is cancelled.
        let mut serving = AbortOnDrop(serving);
        let _ = (&mut serving.0).await;
    }

    /// Serves one connection after its handshake. Calls are handled concurrently.
    async fn serve_calls(self, mut sink: peer::Sink, mut stream: peer::Stream) {
        let _open = self.handle.connections.add(&sink);
        let (replies, mut queue) = tsync::mpsc::channel(REPLY_QUEUE_CAPACITY);
        let identity = self.identity.clone();
        let queued_loads = sync::Arc::new(QueuedLoads::default());
        let waiting = queued_loads.clone();
        let write_replies = async move {
            while let Some(body) = queue.recv().await {
                waiting.remove(&body);
                let sent = identity.send(&mut sink, body).await;
                if sent.is_err_and(|error| !error.is_recoverable()) {
                    return;
                }
            }
        };
        let mut calls = tokio::task::JoinSet::new();
        let read_frames = async {
            while let Ok(received) = self.identity.receive(&mut stream).await {
                let body = match received {
                    peer::Received::Message(body) => body,
                    peer::Received::UnknownCall { id } => {
                        let reply = peer::Reply::Unsupported;
                        let _ = replies.send(peer::Body::Reply { id, reply }).await;
                        continue;
                    }
                    peer::Received::Unknown => {
                        spdlog::warn!("message of another process does not decode; left out");
                        continue;
                    }
                };
                match body {
                    peer::Body::Raft(message) => self.handle.replica.receive(message),
                    peer::Body::Call { id, call } => {
                        let (server, replies) = (self.clone(), replies.clone());
                        let queued_loads = queued_loads.clone();
                        calls.spawn(async move {
                            let name = call.name();
                            let is_whole = matches!(&call, peer::Call::Sync(request)
                                if server.handle.soft_state.needs_whole(request));
                            let permit =
                                if is_whole { server.whole_replies.begin().await } else { None };
                            let reply = queued_loads.admit(server.handle_call(call).await);
                            server.handle.metrics.record_call(name, reply.label());
                            if let peer::Reply::Sync(synced) = &reply {
                                let kind = synced.loads.as_ref().map_or("sums", Loads::name);
                                server.handle.metrics.record_synced_loads(kind);
                            }
                            // Fails if the connection has closed. The caller notices
                            // that too, and may repeat the call.
                            let _ = replies.send(peer::Body::Reply { id, reply }).await;
                            if permit.is_some() {
                                // A gateway that reads nothing does not keep others waiting.
                                tokio::time::sleep(WHOLE_REPLY_TIME).await;
                            }
                        });
                    }
                    peer::Body::Gossip { from, gossip } => {
                        self.handle.soft_state.apply_gossip(from, gossip);
                    }
                    peer::Body::Hello(_)
                    | peer::Body::Reply { .. }
                    | peer::Body::OpenTunnel(_)
                    | peer::Body::TunnelOpened(_) => {}
                }
                while calls.try_join_next().is_some() {}
            }
        };
        tokio::select! {
            () = write_replies => {}
            () = read_frames => {}
        }
    }

    async fn handle_call(&self, call: peer::Call) -> peer::Reply {
        match call {
            peer::Call::Poll { index } => {
                let update = self.handle.replica.poll(index).await;
                update.map_or_else(|| self.not_leader(), peer::Reply::Update)
            }
            peer::Call::PollAll { index, supplemented_at } => {
                let polled = self.handle.replica.poll_all(index, supplemented_at).await;
                polled.map_or_else(
                    || self.not_leader(),
                    |(update, supplement)| peer::Reply::UpdateAll { update, supplement },
                )
            }
            peer::Call::Sync(request) => {
                // A replica that is not current may not know the latest.
                let polled = self.handle.replica.poll_all(request.index, request.supplemented_at);
                let (update, supplement) = polled.await.unzip();
                let members = self.handle.replica.members();
                // No replica has the id `MAX`, so this returns all members.
                let replicas = members.others(raft::NodeId::MAX).collect();
                let supplement = supplement.flatten();
                let reply = self.handle.soft_state.handle_sync(request, update, replicas);
                peer::Reply::Sync(Box::new(peer::SyncReply { supplement, ..reply }))
            }
            peer::Call::RequestPlacement { requirement, software, lacking, exclude, max_wait } => {
                let domains = Vec::new();
                let request =
                    placer::PlacementRequest { requirement, software, domains, exclude, max_wait };
                self.place(request, lacking).await
            }
            peer::Call::RequestPlacementWithin {
                domains,
                requirement,
                software,
                lacking,
                exclude,
                max_wait,
            } => {
                let request =
                    placer::PlacementRequest { requirement, software, domains, exclude, max_wait };
                self.place(request, lacking).await
            }
            peer::Call::Propose(change) => match self.handle.propose(change).await {
                Some(ProposalResult::Committed { index, outcome }) => {
                    peer::Reply::Committed { index, outcome }
                }
                Some(ProposalResult::NotLeader { leader }) => peer::Reply::NotLeader { leader },
                Some(ProposalResult::OutcomeUnknown) => peer::Reply::OutcomeUnknown,
                None => peer::Reply::Unsupported,
            },
            peer::Call::RequestGrant(request) => {
                let non_reporting_fraction = self
                    .handle
                    .soft_state
                    .read(|_, traffic, at| traffic.gateway_registry().non_reporting_fraction(at));
                let reply = self.handle.as_leader(Work::Grant, |leader, state, now| {
                    leader
                        .handle_grant_request(&request, &state.view, non_reporting_fraction, now)
                        .unwrap_or(
                            // The workspace is unknown, so waiting does not help.
                            limit::GrantReply::Unsatisfiable,
                        )
                });
                reply.map_or_else(|| self.not_leader(), peer::Reply::Grant)
            }
            peer::Call::Report(report) => self.handle_report(&report).await,
            peer::Call::ReportCrashes(report) => {
                let recorded = self.handle.as_leader(Work::CrashReport, |leader, _, now| {
                    leader.record_crashes(report, now);
                });
                recorded.map_or_else(|| self.not_leader(), |()| peer::Reply::CrashesRecorded)
            }
            peer::Call::RequestTurn(request) => {
                let reply = self.handle.as_leader(Work::Turn, |leader, _, now| {
                    leader.handle_turn_request(&request, now)
                });
                reply.map_or_else(|| self.not_leader(), peer::Reply::Turn)
            }
            peer::Call::RequestPlace(request) => {
                self.place_loop.request(request).await.unwrap_or_else(|| self.not_leader())
            }
            peer::Call::UpdatePlaces { gateway, updates } => {
                self.place_loop.update(gateway, &updates).unwrap_or_else(|| self.not_leader())
            }
            peer::Call::RecordStreams(streams) => {
                self.handle.soft_state.record_streams(streams);
                peer::Reply::StreamsRecorded
            }
            peer::Call::RecordDeparture { told, departed } => {
                let stored = self.handle.record_departure(told, departed.into()).await;
                peer::Reply::DepartureRecorded { stored }
            }
            peer::Call::FindStream(id) => {
                peer::Reply::Stream(self.handle.soft_state.find_stream(id))
            }
            peer::Call::Status => peer::Reply::Status(Box::new(self.status())),
            peer::Call::Timeline => peer::Reply::Timeline(self.timeline.events()),
        }
    }

    fn status(&self) -> peer::Status {
        let own = peer::Process {
            name: self.process.clone(),
            build: Some(peer::BUILD.to_owned()),
            messages: peer::version::Range::OWN,
        };
        let builds = peer::Builds { own, connected: self.handle.connections.list() };
        peer::Status { builds: Some(builds), ..self.handle.replica.status() }
    }

    async fn handle_report(&self, report: &announce::Report) -> peer::Reply {
        let handled = self.handle.replica.as_leader(|leader, state, now| {
            let is_live = state.claims.is_session_live(report.session);
            (leader.handle_report(report, state, now), leader.next_loads(now), is_live)
        });
        let Some((changes, loads, session_live)) = handled else {
            return self.not_leader();
        };
        for change in changes {
            self.handle.replica.propose(change).await;
        }
        peer::Reply::ReportRecorded { session_live, loads }
    }

    /// Replies to a placement request.
    async fn place(&self, request: placer::PlacementRequest, lacking: Vec<String>) -> peer::Reply {
        let reply = match &self.placer {
            Some(placer) => placer.answer_placement_request(request, lacking).await,
            None => None,
        };
        reply.unwrap_or_else(|| self.not_leader())
    }

    /// Returns the reply to a call that this replica can't answer: it is not the
    /// leader, can't prove that it is up to date, or has no placer.
    fn not_leader(&self) -> peer::Reply {
        peer::Reply::NotLeader { leader: self.handle.replica.leader() }
    }
}

/// Bytes of loads in the replies that wait to be written to one connection.
#[derive(Debug, Default)]
struct QueuedLoads(AtomicUsize);

impl QueuedLoads {
    /// Counts the loads of a reply, or takes them out if too many bytes wait: the gateway asks for
    /// them again, and the rest of the reply waits no longer than it must.
    fn admit(&self, mut reply: peer::Reply) -> peer::Reply {
        let peer::Reply::Sync(synced) = &mut reply else {
            return reply;
        };
        let bytes = loads_bytes(synced);
        let queued = self.0.fetch_add(bytes, atomic::Ordering::Relaxed);
        if bytes > 0 && queued > QUEUED_LOAD_BYTES {
            self.0.fetch_sub(bytes, atomic::Ordering::Relaxed);
            synced.loads = Some(Loads::Withheld);
        }
        reply
    }

    /// Counts a reply less, which is being written.
    fn remove(&self, body: &peer::Body) {
        if let peer::Body::Reply { reply: peer::Reply::Sync(synced), .. } = body {
            self.0.fetch_sub(loads_bytes(synced), atomic::Ordering::Relaxed);
        }
    }
}

fn loads_bytes(reply: &peer::SyncReply) -> usize {
    match &reply.loads {
        Some(Loads::Difference(difference)) => LOAD_BYTES * difference.items(),
        Some(Loads::Withheld) | None => 0,
    }
}

/// Aborts a task when it is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns whether the other side of a connection is a control replica.
fn is_replica(sink: &peer::Sink) -> bool {
    sink.other().is_some_and(|other| other.name.starts_with(PROCESS_PREFIX))
}
