//! Tells the target table which targets are cold: by the catalog, the ends of evacuations,
//! connections that targets close, and health checks while no replica tells anything.

use std::{collections, sync, time};

use bytes::Bytes;
use http_body_util::Full;

use crate::{
    request::gateway::fleet::Choice,
    version::{catalog::WarmUp, feed::CachedView},
};

use super::core::Core;

/// How long a target may take to answer a health check.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(300);

impl Core {
    /// Sends a health check to a target, of which it is not known whether it is cold, and records
    /// what it states. Without a statement the target is taken for cold.
    pub(super) async fn check_target(&self, service: &str, choice: &Choice) {
        self.fleet.lock().begin_check(&choice.id, self.clock.now());
        let path = self.health_path(service);
        let head = tokio::time::timeout(CHECK_TIMEOUT, self.health(choice, path)).await;
        if let Ok(Some(head)) = head {
            self.record_cold_stated(choice, &head);
        }
    }

    /// Records how long a target stays cold if a response states that.
    pub(super) fn record_cold_stated(&self, choice: &Choice, head: &http::response::Parts) {
        if let Some(left) = self.dialect.stated_cold(head) {
            self.fleet.lock().record_cold_stated(&choice.id, left, self.clock.now());
        }
    }

    fn health_path(&self, service: &str) -> Option<http::Uri> {
        let config = self.config();
        let service = config.table.as_ref()?.service(service)?;
        service.health_path.parse().ok()
    }

    /// Returns the head of the response to a health check, on a connection of its own.
    async fn health(
        &self,
        choice: &Choice,
        path: Option<http::Uri>,
    ) -> Option<http::response::Parts> {
        let request = http::Request::get(path?)
            .header(http::header::HOST, choice.address.to_string())
            .header(http::header::CONNECTION, "close")
            .body(Full::<Bytes>::default())
            .ok()?;
        let opened = self.open(choice.address).await.ok()?;
        let sent = self.pools.send_on(choice.address, opened, request).await;
        let (response, _) = sent.ok()?;
        Some(response.into_parts().0)
    }

    /// Applies what changed about cold targets from one copy of the view to the next.
    pub(super) fn update_cold(&self, previous: &CachedView, next: &CachedView) {
        let (old, new) = (previous.view().catalog(), next.view().catalog());
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if let Some(catalog) = new
            && old.is_none_or(|old| !sync::Arc::ptr_eq(old, catalog))
        {
            let services = catalog.services.iter();
            let warm_ups = services.filter_map(|s| Some((s.name.clone(), s.warm_up?)));
            fleet.set_warm_ups(warm_ups.collect::<collections::HashMap<String, WarmUp>>());
        }
        // A gateway that has just started does not know how long ago evacuations ended.
        if old.is_none() || next.supplemented_at() == previous.supplemented_at() {
            return;
        }
        for domain in next.view().evacuations().finished_since(previous.supplemented_at()) {
            fleet.record_domain_returned(domain, now);
            spdlog::info!("evacuation has ended; targets count as cold", kv: { domain = domain });
        }
    }

    /// Records the targets that have closed idle connections: they may have restarted.
    pub(super) fn note_closed_connections(&self) {
        let closed = self.pools.take_closed();
        if closed.is_empty() {
            return;
        }
        let mut fleet = self.fleet.lock();
        for address in closed {
            fleet.record_closed(address);
        }
    }

    /// Publishes the number of targets that count as cold.
    pub(super) fn measure_cold(&self) {
        let count = self.fleet.lock().cold_targets(self.clock.now());
        self.metrics.record_cold_targets(u64::try_from(count).unwrap_or(u64::MAX));
    }
}
