//! A fake of a plain HTTP service that counts how often each call ran.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming};
use parking_lot::Mutex;

use crate::{
    announce,
    server::{self, Body, Server, text_response},
};

/// Text in a request body that makes the service run the call and then crash
/// without a response.
pub const DROP_RESPONSE_TRIGGER: &str = "LOSE-THE-ANSWER";

/// Settings of a fake service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the target.
    pub name: String,
    /// Service record that the target belongs to.
    pub service: String,
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Time between a request and its response.
    pub delay: Duration,
    /// Identifies one start of the target.
    pub incarnation: u64,
    /// Internal addresses of the entry processes to announce to, in turn.
    pub entry_addresses: Vec<SocketAddr>,
}

impl Options {
    /// Returns settings with a delay of 5 ms and a free loopback port.
    #[must_use]
    pub fn quick(name: &str, service: &str, entry_addresses: Vec<SocketAddr>) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            listen: ([127, 0, 0, 1], 0).into(),
            domain: "a".into(),
            delay: Duration::from_millis(5),
            incarnation: 1,
            entry_addresses,
        }
    }
}

#[derive(Debug)]
struct Inner {
    options: Options,
    /// Number of runs by idempotency key, or by body for requests without a
    /// key.
    runs: Mutex<BTreeMap<String, u64>>,
    key_leaks: Mutex<u64>,
    leaving: Mutex<bool>,
    server: Mutex<Option<Server>>,
}

/// A running service. Clones share its state.
#[derive(Clone, Debug)]
pub struct Service {
    inner: Arc<Inner>,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl Service {
    /// Starts a service that announces itself every 200 ms until it crashes.
    ///
    /// # Errors
    ///
    /// Returns an error if `options.listen` can't be bound.
    pub async fn start(options: Options) -> io::Result<Self> {
        let listen = options.listen;
        let inner = Arc::new(Inner {
            options,
            runs: Mutex::default(),
            key_leaks: Mutex::default(),
            leaving: Mutex::default(),
            server: Mutex::default(),
        });
        let handler = inner.clone();
        let server = Server::start(listen, move |request| handler.clone().handle(request)).await?;
        let address = server.address;
        *inner.server.lock() = Some(server);
        let service = Self { inner, address };
        tokio::spawn(service.clone().announce());
        Ok(service)
    }

    /// Returns how often the call with this idempotency key ran, or with this
    /// body if it has no key.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        self.inner.runs.lock().get(key).copied().unwrap_or(0)
    }

    /// Returns the number of runs of all calls.
    #[must_use]
    pub fn total_runs(&self) -> u64 {
        self.inner.runs.lock().values().sum()
    }

    /// Returns the number of requests that contained a key of the system in
    /// their headers, URI or body.
    #[must_use]
    pub fn key_leaks(&self) -> u64 {
        *self.inner.key_leaks.lock()
    }

    /// Announces from now on that the target is leaving. It goes on serving
    /// requests.
    pub fn announce_leaving(&self) {
        *self.inner.leaving.lock() = true;
    }

    /// Closes all connections and ends the announcements.
    pub fn crash(&self) {
        self.inner.server.lock().take();
    }

    async fn announce(self) {
        let mut turn = 0;
        while self.inner.server.lock().is_some() {
            let options = &self.inner.options;
            let announcement = serde_json::json!({
                "name": options.name,
                "address": self.address.to_string(),
                "class": "service",
                "service": options.service,
                "domain": options.domain,
                "incarnation": options.incarnation,
                "width": 32,
                "leaving": *self.inner.leaving.lock(),
            });
            if let Some(address) =
                options.entry_addresses.get(turn % options.entry_addresses.len().max(1))
            {
                announce::send(*address, &announcement).await;
            }
            turn += 1;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

impl Inner {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = server::read_body(body).await;
        let mut parts = head.headers.values().map(|v| v.as_bytes().to_vec()).collect::<Vec<_>>();
        parts.push(head.uri.to_string().into_bytes());
        parts.push(body.to_vec());
        if parts.iter().any(|bytes| bytes.windows(4).any(|w| w == b"hbd.")) {
            *self.key_leaks.lock() += 1;
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        let key = head.headers.get("idempotency-key").and_then(|v| v.to_str().ok());
        let key = key.map_or_else(|| text.clone(), str::to_owned);
        let run = {
            let mut runs = self.runs.lock();
            let count = runs.entry(key).or_default();
            *count += 1;
            *count
        };
        if !self.options.delay.is_zero() {
            tokio::time::sleep(self.options.delay).await;
        }
        if text.contains(DROP_RESPONSE_TRIGGER) {
            self.server.lock().take();
            tokio::time::sleep(Duration::from_hours(1)).await;
        }
        let body = serde_json::json!({"by": self.options.name, "run": run});
        let mut response = text_response(200, &body.to_string());
        let content_type = hyper::header::HeaderValue::from_static("application/json");
        response.headers_mut().insert("content-type", content_type);
        response
    }
}
