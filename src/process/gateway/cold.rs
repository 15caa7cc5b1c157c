//! Tells the target table which targets are cold: by the catalog, the ends of evacuations, and
//! connections that targets close.

use std::{collections, sync};

use crate::version::{catalog::WarmUp, feed::CachedView};

use super::core::Core;

impl Core {
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
