//! A fake model engine: it runs a limited number of completions at once, loads
//! and unloads models and adapters by orders with fencing numbers, and can
//! resume streams.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, body::Frame, body::Incoming};
use parking_lot::Mutex;
use serde::Deserialize;
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    announce,
    server::{self, Body, ConnectionCut, Server, text_response},
};

/// Text in a request body that makes the engine crash without a response.
pub const CRASH_TRIGGER: &str = "CRASH-THE-ENGINE";

/// Text in a request body to which the engine answers without end.
pub const ENDLESS_TRIGGER: &str = "ANSWER-WITHOUT-END";

/// Text in a request body that makes the engine stall the stream after the first event. It
/// goes on to send a byte now and then.
pub const STALL_TRIGGER: &str = "STALL-THE-STREAM";

/// Time between two bytes of a stalled stream.
const STALLED_BYTE_INTERVAL: Duration = Duration::from_millis(500);

/// Prefix of every key of the system. Targets must never receive a key.
const KEY_PREFIX: &[u8] = b"hbd.";

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the target.
    pub name: String,
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Class record that the target belongs to.
    pub class: String,
    /// Failure domain.
    pub domain: String,
    /// Announced memory in MiB. The engine itself does not enforce it.
    pub memory_mib: u64,
    /// Completions that run at once; others are queued.
    pub slots: u32,
    /// Time per output token.
    pub token_time: Duration,
    /// Time to load a model or adapter.
    pub load_time: Duration,
    /// Whether orders with a fencing number that is not above all earlier ones
    /// are refused with status 409.
    pub checks_fencing: bool,
    /// Header `x-resumable` of streamed responses, which lets the entry process resume a
    /// broken stream at another engine with the same value. `None` leaves it out.
    pub resumable: Option<&'static str>,
    /// Identifies one start of the target.
    pub incarnation: u64,
    /// Internal addresses of the entry processes to announce to, in turn.
    pub entry_addresses: Vec<SocketAddr>,
}

impl Options {
    /// Returns settings with delays of at most 20 ms and a free loopback port.
    #[must_use]
    pub fn quick(name: &str, entry_addresses: Vec<SocketAddr>) -> Self {
        Self {
            name: name.into(),
            listen: ([127, 0, 0, 1], 0).into(),
            class: "engine".into(),
            domain: "a".into(),
            memory_mib: 1_000,
            slots: 8,
            token_time: Duration::from_millis(2),
            load_time: Duration::from_millis(20),
            checks_fencing: true,
            resumable: Some("1"),
            incarnation: 1,
            entry_addresses,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    resident: BTreeMap<(String, String), u64>,
    last_fence: u64,
    peak_memory_mib: u64,
    running: BTreeMap<String, u32>,
    queued: u32,
    leaving: bool,
    crashed: bool,
    responses_to_drop: u32,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    state: Mutex<State>,
    slots: Semaphore,
    server: Mutex<Option<Server>>,
    requests: AtomicU64,
    cancelled_streams: AtomicU64,
    key_leaks: AtomicU64,
}

/// A running engine. Clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    inner: Arc<Inner>,
    /// Address that it listens on.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
struct Order {
    verb: String,
    kind: String,
    name: String,
    memory_mib: u64,
    fence: u64,
}

#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

impl Engine {
    /// Starts an engine that announces itself every 200 ms until it crashes.
    ///
    /// # Errors
    ///
    /// Returns an error if `options.listen` can't be bound.
    pub async fn start(options: Options) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            slots: Semaphore::new(options.slots as usize),
            state: Mutex::default(),
            server: Mutex::default(),
            requests: AtomicU64::new(0),
            cancelled_streams: AtomicU64::new(0),
            key_leaks: AtomicU64::new(0),
            options,
        });
        let handler = inner.clone();
        let listen = inner.options.listen;
        let server = Server::start(listen, move |request| handler.clone().handle(request)).await?;
        let address = server.address;
        *inner.server.lock() = Some(server);
        let engine = Self { inner, address };
        tokio::spawn(engine.clone().announce());
        Ok(engine)
    }

    /// Returns the highest sum of the memory of resident items since the start,
    /// in MiB.
    #[must_use]
    pub fn peak_memory_mib(&self) -> u64 {
        self.inner.state.lock().peak_memory_mib
    }

    /// Returns the names of the models and adapters in memory, including those
    /// still loading.
    #[must_use]
    pub fn resident(&self) -> Vec<String> {
        self.inner.state.lock().resident.keys().map(|(_, name)| name.clone()).collect()
    }

    /// Returns the number of completion requests received.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.inner.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of streams whose connection was closed before their
    /// end.
    #[must_use]
    pub fn cancelled_streams(&self) -> u64 {
        self.inner.cancelled_streams.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that contained a key of the system in
    /// their headers, URI or body.
    #[must_use]
    pub fn key_leaks(&self) -> u64 {
        self.inner.key_leaks.load(Ordering::SeqCst)
    }

    /// Announces from now on that the target is leaving. It goes on serving
    /// requests.
    pub fn announce_leaving(&self) {
        self.inner.state.lock().leaving = true;
    }

    /// Executes the next `count` accepted orders without responding to them.
    pub fn drop_order_responses(&self, count: u32) {
        self.inner.state.lock().responses_to_drop = count;
    }

    /// Closes all connections and ends the announcements.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Returns true until the engine has crashed.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.inner.server.lock().is_some()
    }

    async fn announce(self) {
        let mut turn = 0;
        loop {
            if self.inner.state.lock().crashed {
                return;
            }
            let announcement = self.announcement();
            let addresses = &self.inner.options.entry_addresses;
            if let Some(address) = addresses.get(turn % addresses.len().max(1)) {
                announce::send(*address, &announcement).await;
            }
            turn += 1;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    fn announcement(&self) -> serde_json::Value {
        let options = &self.inner.options;
        let state = self.inner.state.lock();
        let resident: Vec<_> = state
            .resident
            .iter()
            .map(|((kind, name), memory)| {
                serde_json::json!({"kind": kind, "name": name, "memory_mib": memory})
            })
            .collect();
        let busy: Vec<_> = state
            .running
            .iter()
            .filter(|(_, count)| **count > 0)
            .flat_map(|(name, _)| {
                ["model", "adapter"].map(|kind| serde_json::json!({"kind": kind, "name": name}))
            })
            .collect();
        serde_json::json!({
            "name": options.name,
            "address": self.address.to_string(),
            "class": options.class,
            "domain": options.domain,
            "memory_mib": options.memory_mib,
            "incarnation": options.incarnation,
            "width": options.slots,
            "resident": resident,
            "busy": busy,
            "running": state.running.values().sum::<u32>(),
            "queued": state.queued,
            "leaving": state.leaving,
        })
    }
}

impl Inner {
    fn crash(&self) {
        self.state.lock().crashed = true;
        self.server.lock().take();
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = server::read_body(body).await;
        let has_key = head.headers.values().any(|v| contains_key(v.as_bytes()))
            || contains_key(head.uri.to_string().as_bytes())
            || contains_key(&body);
        if has_key {
            self.key_leaks.fetch_add(1, Ordering::SeqCst);
        }
        match head.uri.path() {
            "/orders" => self.handle_order(&body).await,
            "/v1/chat/completions" | "/v1/completions" => {
                let resume_offset = head.headers.get("x-resume-offset");
                let offset = resume_offset.and_then(|v| v.to_str().ok()?.parse().ok()).unwrap_or(0);
                self.handle_completion(&body, offset).await
            }
            _ => text_response(404, "no such path"),
        }
    }

    async fn handle_order(&self, body: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return text_response(400, "invalid order");
        };
        {
            let mut state = self.state.lock();
            if self.options.checks_fencing && order.fence <= state.last_fence {
                return text_response(409, "fencing number is not newer than the last one");
            }
            state.last_fence = state.last_fence.max(order.fence);
        }
        let item = (order.kind, order.name);
        if order.verb == "load" {
            {
                let mut state = self.state.lock();
                state.resident.insert(item, order.memory_mib);
                let used = state.resident.values().sum();
                state.peak_memory_mib = state.peak_memory_mib.max(used);
            }
            tokio::time::sleep(self.options.load_time).await;
        } else {
            self.state.lock().resident.remove(&item);
        }
        let drop_response = {
            let mut state = self.state.lock();
            let drop_response = state.responses_to_drop > 0;
            state.responses_to_drop = state.responses_to_drop.saturating_sub(1);
            drop_response
        };
        if drop_response {
            tokio::time::sleep(Duration::from_hours(1)).await;
        }
        text_response(200, "done")
    }

    async fn handle_completion(self: Arc<Self>, body: &Bytes, offset: u64) -> Response<Body> {
        self.requests.fetch_add(1, Ordering::SeqCst);
        let Ok(request) = serde_json::from_slice::<CompletionRequest>(body) else {
            return text_response(400, "invalid completion request");
        };
        let contains = |trigger: &str| body.windows(trigger.len()).any(|w| w == trigger.as_bytes());
        if contains(CRASH_TRIGGER) {
            self.crash();
            tokio::time::sleep(Duration::from_hours(1)).await;
        }
        let names: BTreeSet<_> =
            self.state.lock().resident.keys().map(|(_, name)| name.clone()).collect();
        if !names.contains(&request.model) {
            let mut response = text_response(404, "the model is not resident");
            let value = hyper::header::HeaderValue::from_static("true");
            response.headers_mut().insert("x-lacks-model", value);
            return response;
        }
        if contains(ENDLESS_TRIGGER) {
            return Response::new(server::endless_body());
        }
        let output_tokens = request.max_tokens.unwrap_or(16);
        let prompt_tokens = body.len() as u64 / 8;
        self.state.lock().queued += 1;
        let completion = Completion {
            engine: self.clone(),
            model: request.model.clone(),
            prompt_tokens,
            output_tokens,
            stalls: contains(STALL_TRIGGER),
        };
        if request.stream { completion.respond_stream(offset) } else { completion.respond().await }
    }
}

/// A completion, queued or running.
struct Completion {
    engine: Arc<Inner>,
    model: String,
    prompt_tokens: u64,
    output_tokens: u64,
    stalls: bool,
}

/// Counts a completion as running until it is dropped.
struct RunningGuard {
    engine: Arc<Inner>,
    model: String,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if let Some(count) = self.engine.state.lock().running.get_mut(&self.model) {
            *count -= 1;
        }
    }
}

impl Completion {
    fn mark_running(&self) -> RunningGuard {
        let mut state = self.engine.state.lock();
        state.queued -= 1;
        *state.running.entry(self.model.clone()).or_default() += 1;
        RunningGuard { engine: self.engine.clone(), model: self.model.clone() }
    }

    fn usage(&self) -> serde_json::Value {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt_tokens + self.output_tokens,
        })
    }

    fn load(&self) -> u32 {
        let state = self.engine.state.lock();
        state.running.values().sum::<u32>() + state.queued
    }

    async fn respond(self) -> Response<Body> {
        let engine = self.engine.clone();
        let _permit = engine.slots.acquire().await;
        let _guard = self.mark_running();
        let tokens = u32::try_from(self.output_tokens).unwrap_or(u32::MAX);
        tokio::time::sleep(self.engine.options.token_time * tokens).await;
        let text: Vec<_> = (0..self.output_tokens).map(|n| format!("t{n}")).collect();
        let body = serde_json::json!({
            "object": "chat.completion",
            "model": self.model,
            "choices": [{"index": 0, "message": {"role": "assistant", "content": text.join(" ")},
                         "finish_reason": "stop"}],
            "usage": self.usage(),
        });
        let mut response = text_response(200, &body.to_string());
        response.headers_mut().insert("content-type", header_value("application/json"));
        response.headers_mut().insert("x-load", self.load().into());
        response
    }

    fn respond_stream(self, offset: u64) -> Response<Body> {
        let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, ConnectionCut>>(4);
        let (load, resumable) = (self.load(), self.engine.options.resumable);
        tokio::spawn(async move {
            if self.generate(&sender, offset).await.is_none() {
                self.engine.cancelled_streams.fetch_add(1, Ordering::SeqCst);
            }
        });
        let stream = ReceiverStream::new(receiver);
        let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert("content-type", header_value("text/event-stream"));
        if let Some(value) = resumable {
            headers.insert("x-resumable", header_value(value));
        }
        headers.insert("x-load", load.into());
        response
    }

    /// Sends the events from output token `offset` on. Returns `None` if the
    /// connection is closed before the end.
    async fn generate(
        &self,
        sender: &mpsc::Sender<Result<Frame<Bytes>, ConnectionCut>>,
        offset: u64,
    ) -> Option<()> {
        let _permit = self.engine.slots.acquire().await;
        let _guard = self.mark_running();
        for n in offset..self.output_tokens {
            tokio::select! {
                () = tokio::time::sleep(self.engine.options.token_time) => {}
                () = sender.closed() => return None,
            }
            let chunk = serde_json::json!({
                "object": "chat.completion.chunk",
                "model": self.model,
                "choices": [{"index": 0, "delta": {"content": format!("t{n} ")}}],
            });
            send(sender, &chunk.to_string()).await?;
            if self.stalls {
                return stall(sender).await;
            }
        }
        let usage = serde_json::json!({"choices": [], "usage": self.usage()});
        send(sender, &usage.to_string()).await?;
        send(sender, "[DONE]").await
    }
}

/// Sends bytes that complete no event, until the connection is closed.
async fn stall(sender: &mpsc::Sender<Result<Frame<Bytes>, ConnectionCut>>) -> Option<()> {
    loop {
        sender.send(Ok(Frame::data(Bytes::from_static(b"x")))).await.ok()?;
        tokio::time::sleep(STALLED_BYTE_INTERVAL).await;
    }
}

async fn send(
    sender: &mpsc::Sender<Result<Frame<Bytes>, ConnectionCut>>,
    data: &str,
) -> Option<()> {
    sender.send(Ok(Frame::data(Bytes::from(format!("data: {data}\n\n"))))).await.ok()
}

fn header_value(value: &'static str) -> hyper::header::HeaderValue {
    hyper::header::HeaderValue::from_static(value)
}

fn contains_key(bytes: &[u8]) -> bool {
    bytes.windows(KEY_PREFIX.len()).any(|w| w == KEY_PREFIX)
}
