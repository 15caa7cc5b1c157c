//! Orders to load or unload a model or adapter: their JSON, and the client that
//! sends them to targets.

use std::{net, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::{client::legacy, rt};
use serde::{Deserialize, Serialize};

use crate::version::{
    memory::{self, Item, Verb},
    raft,
};

/// Time-out for a target to carry out an order and respond, and then for reading
/// the rest of its response.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Time-out for the body of a response, which is discarded.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Largest body of a response that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Path of a target at which it accepts orders.
const PATH: &str = "/orders";

/// An order in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderV1 {
    /// `load` or `unload`.
    pub verb: VerbV1,
    /// `model` or `adapter`.
    pub kind: ItemKindV1,
    /// Name of the model or adapter.
    pub name: String,
    /// Memory that a load needs, in MiB.
    pub memory_mib: u64,
    /// Fencing token: the index of the order's log entry. A target that checks it
    /// refuses one below the highest seen.
    pub fence: u64,
    /// Incarnation of the target that the order is for.
    pub incarnation: u64,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VerbV1 {
    /// Load into accelerator memory.
    Load,
    /// Remove from accelerator memory.
    Unload,
}

/// Kind of an item in orders and announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemKindV1 {
    /// A model.
    Model,
    /// An adapter.
    Adapter,
}

impl From<Verb> for VerbV1 {
    fn from(verb: Verb) -> Self {
        match verb {
            Verb::Load => Self::Load,
            Verb::Unload => Self::Unload,
        }
    }
}

impl From<&Item> for ItemKindV1 {
    fn from(item: &Item) -> Self {
        match item {
            Item::Model(_) => Self::Model,
            Item::Adapter(_) => Self::Adapter,
        }
    }
}

/// An order and the address of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Address of the target.
    pub address: net::SocketAddr,
    /// Load or unload.
    pub verb: Verb,
    /// Model or adapter to load or unload.
    pub item: Item,
    /// Memory that a load needs, in MiB.
    pub memory: u64,
    /// Fencing token: the index of the order's log entry.
    pub fence: raft::Index,
    /// Incarnation of the target that the order is for.
    pub incarnation: u64,
}

impl From<&Order> for OrderV1 {
    fn from(order: &Order) -> Self {
        Self {
            verb: order.verb.into(),
            kind: (&order.item).into(),
            name: order.item.name().to_owned(),
            memory_mib: order.memory,
            fence: order.fence,
            incarnation: order.incarnation,
        }
    }
}

/// HTTP client that sends orders to targets.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client. Every order uses a new connection and is never sent again,
    /// so that it arrives at most once.
    #[must_use]
    pub fn new() -> Self {
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .retry_canceled_requests(false)
            .build_http();
        Self { http }
    }

    /// Sends an order and returns its outcome, or `None` if the order may or may
    /// not have been carried out.
    ///
    /// A response with status 4xx or 507 is a refusal: the target did nothing.
    pub async fn send(&self, order: &Order) -> Option<memory::Ack> {
        let body = serde_json::to_vec(&OrderV1::from(order)).ok()?;
        let request = http::Request::post(format!("http://{}{PATH}", order.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        match tokio::time::timeout(ORDER_TIMEOUT, self.http.request(request)).await {
            Ok(Ok(response)) => {
                let status = response.status();
                // Only the status matters. The body is read so that the connection
                // closes cleanly, as far as it is short.
                let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
                let _ = tokio::time::timeout(BODY_TIMEOUT, body).await;
                ack_from_status(status)
            }
            // The connection failed to open, so no byte of the order was sent.
            Ok(Err(error)) if error.is_connect() => Some(memory::Ack::Refused),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

fn ack_from_status(status: http::StatusCode) -> Option<memory::Ack> {
    if status.is_success() {
        return Some(memory::Ack::Done);
    }
    let refused = status.is_client_error() || status == http::StatusCode::INSUFFICIENT_STORAGE;
    refused.then_some(memory::Ack::Refused)
}
