//! What the placement of models is decided on, gathered once for all decisions of a
//! planning step.
//!
//! Many models may want a copy at the same time. None of what is gathered here depends
//! on which of them gets one, so the work of a step is that of one pass over the
//! targets and the models in demand, plus a short look at each target for each model.

use std::{collections, time};

use crate::version::{catalog, traffic};

use super::{
    Placer,
    model::{self, MIN_RESIDENCE, TARGET_CAPACITY},
    room::{Phase, TargetState},
};

/// Steps in which the work of a model is spread over its copies.
const SPREAD_STEPS: usize = 6;

/// Cost of the eviction of a model's only copy, in prompt tokens per second: its
/// requests would have to wait.
const LAST_COPY_COST: f64 = TARGET_CAPACITY / 10.0;

/// The same, for each prompt token per second of the model's work.
const LAST_COPY_COST_PER_WORK: f64 = 4.0;

/// Work that each running request of a model stands for where its streams can go on at no
/// other target, in prompt tokens per second.
const WORK_PER_RUNNING: f64 = 1_000.0;

/// Demand for one model, including its adapters.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Arriving work, in prompt tokens per second.
    pub(super) work: u64,
    /// Requests that wait for the model or one of its adapters.
    pub(super) waiting: u32,
    /// Requests at targets, and those that ended with their gateway a moment ago.
    pub(super) running: u32,
}

/// Demand by model.
pub(super) type Demands<'d> = collections::BTreeMap<&'d str, Demand>;

/// Sums the demand for each model of a service.
pub(super) fn demands_by_model<'d>(
    service: &catalog::Service,
    traffic: &'d traffic::Report,
) -> Demands<'d> {
    let mut demands = Demands::new();
    for demand in traffic.demands.iter().filter(|d| d.service == service.name) {
        let sum = demands.entry(demand.model.as_str()).or_default();
        sum.work = sum.work.saturating_add(demand.work);
        sum.waiting = sum.waiting.saturating_add(demand.waiting);
        sum.running = sum.running.saturating_add(demand.running);
    }
    demands
}

/// A copy that may be evicted.
#[derive(Clone, Debug)]
pub(super) struct Evictable {
    pub(super) model: String,
    pub(super) weights_mb: u64,
    /// In prompt tokens per second.
    pub(super) cost: f64,
}

/// One target of the service.
#[derive(Clone, Debug)]
pub(super) struct Row {
    /// Id of the target.
    pub(super) id: String,
    /// Whether it can take an order and is not reserved for a model.
    pub(super) available: bool,
    /// Estimated work, in prompt tokens per second.
    pub(super) work: f64,
    /// Memory for models and adapters, in MB.
    pub(super) memory_mb: u64,
    /// The part of it that is charged.
    pub(super) charged_mb: u64,
    /// Copies that may be evicted, the cheapest first.
    pub(super) evictable: Vec<Evictable>,
}

impl Row {
    /// Returns true if a model of `weights_mb` fits without an eviction.
    pub(super) fn fits(&self, weights_mb: u64) -> bool {
        self.charged_mb.saturating_add(weights_mb) <= self.memory_mb
    }
}

/// The targets of one service, without those that are being evacuated.
#[derive(Clone, Debug)]
pub(super) struct Survey {
    /// In the order of the targets' ids.
    pub(super) rows: Vec<Row>,
    /// Whether a load from the weight store may begin.
    pub(super) store_allows_load: bool,
    /// Models with a copy that is resident or loading.
    pub(super) placed: collections::BTreeSet<String>,
    /// Largest work of a target, in prompt tokens per second.
    pub(super) max_work: f64,
    /// Target with that work, and the model with the most work there.
    pub(super) busiest: Option<(String, String)>,
    /// Smallest work of a target.
    pub(super) min_work: f64,
}

impl Survey {
    pub(super) fn new(
        placer: &Placer,
        service: &catalog::Service,
        demands: &Demands<'_>,
        now: time::Duration,
    ) -> Self {
        let models: collections::HashMap<&str, &catalog::Model> =
            service.engine.iter().flat_map(|e| &e.models).map(|m| (m.name.as_str(), m)).collect();
        let targets: Vec<_> = placer
            .targets
            .iter()
            .filter(|(_, t)| t.service == service.name && !t.evacuated)
            .collect();
        let hosts = hosts_by_model(&targets);
        let spread = Spread::new(&hosts, demands, targets.len());
        let rows = targets.iter().zip(&spread.by_target).map(|((id, target), work)| Row {
            id: (*id).clone(),
            available: target.is_idle() && target.reserved.is_none(),
            work: *work,
            memory_mb: target.memory,
            charged_mb: target.charged(|name| models.get(name).copied()),
            evictable: evictable(target, &targets, &models, &hosts, demands, now),
        });
        let rows: Vec<_> = rows.collect();
        let by_work = |a: &&Row, b: &&Row| a.work.total_cmp(&b.work);
        let busiest = rows.iter().max_by(by_work);
        Self {
            store_allows_load: placer.store_allows_load(service),
            placed: hosts.keys().map(|name| (*name).to_owned()).collect(),
            max_work: busiest.map_or(0.0, |r| r.work),
            min_work: rows.iter().min_by(by_work).map_or(0.0, |r| r.work),
            busiest: spread.busiest_copy(&targets),
            rows,
        }
    }
}

/// Indices of the targets with a copy that is resident or loading, by model.
type Hosts<'t> = collections::BTreeMap<&'t str, Vec<usize>>;

fn hosts_by_model<'t>(targets: &[(&'t String, &'t TargetState)]) -> Hosts<'t> {
    let mut hosts = Hosts::new();
    for (index, (_, target)) in targets.iter().enumerate() {
        for (name, copy) in &target.models {
            if model::is_resident_or_loading(&copy.phase) {
                hosts.entry(name.as_str()).or_default().push(index);
            }
        }
    }
    hosts
}

/// Returns the copies on a target that may be evicted, the cheapest first.
///
/// The only copy at a software version counts as the last one while the model has running
/// requests, and the more so the more it has: their streams can go on at no other version.
fn evictable(
    target: &TargetState,
    targets: &[(&String, &TargetState)],
    models: &collections::HashMap<&str, &catalog::Model>,
    hosts: &Hosts<'_>,
    demands: &Demands<'_>,
    now: time::Duration,
) -> Vec<Evictable> {
    let resident = target
        .models
        .iter()
        .filter(|(_, c)| c.phase == Phase::Resident && now >= c.loaded_at + MIN_RESIDENCE);
    let evictable = resident.map(|(name, _)| {
        let demand = demands.get(name.as_str()).copied().unwrap_or_default();
        let work = model::to_f64(demand.work);
        let hosts = hosts.get(name.as_str()).map_or(&[][..], Vec::as_slice);
        let copies = hosts.len().max(1);
        let of_version = hosts.iter().filter(|i| targets[**i].1.software == target.software);
        let bound_work = if of_version.count() == 1 {
            f64::from(demand.running) * WORK_PER_RUNNING
        } else {
            0.0
        };
        let last_copy_cost = if copies == 1 || bound_work > 0.0 {
            LAST_COPY_COST + work.max(bound_work) * LAST_COPY_COST_PER_WORK
        } else {
            0.0
        };
        Evictable {
            model: name.clone(),
            weights_mb: models.get(name.as_str()).map_or(0, |m| m.weights_mb),
            cost: work / model::to_f64(copies as u64) + last_copy_cost,
        }
    });
    let mut evictable: Vec<_> = evictable.collect();
    evictable.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    evictable
}

/// Estimated work on targets, by index.
struct Spread<'m> {
    /// In prompt tokens per second.
    by_target: Vec<f64>,
    /// By target and model, in prompt tokens per second.
    by_copy: collections::BTreeMap<(usize, &'m str), f64>,
}

impl<'m> Spread<'m> {
    /// Spreads the work of each model over its copies so that the work of the targets
    /// is roughly even (greedily, in [`SPREAD_STEPS`] steps).
    fn new(hosts: &Hosts<'_>, demands: &Demands<'m>, targets: usize) -> Self {
        let mut by_target: Vec<f64> = vec![0.0; targets];
        let mut by_copy = collections::BTreeMap::new();
        for _ in 0..SPREAD_STEPS {
            for (name, demand) in demands {
                let hosts = hosts.get(name).map_or(&[][..], Vec::as_slice);
                // Each step goes to the host with the least work so far.
                let host =
                    hosts.iter().min_by(|a, b| by_target[**a].total_cmp(&by_target[**b])).copied();
                if let Some(host) = host {
                    let work = model::to_f64(demand.work) / model::to_f64(SPREAD_STEPS as u64);
                    by_target[host] += work;
                    *by_copy.entry((host, *name)).or_insert(0.0) += work;
                }
            }
        }
        Self { by_target, by_copy }
    }

    /// Returns the target with the most work and the model with the most work there;
    /// `None` without any work.
    fn busiest_copy(&self, targets: &[(&String, &TargetState)]) -> Option<(String, String)> {
        let works = self.by_target.iter().enumerate();
        let (busiest, _) = works.max_by(|a, b| a.1.total_cmp(b.1))?;
        let copies = self.by_copy.range((busiest, "")..(busiest + 1, ""));
        let ((_, name), _) = copies.max_by(|a, b| a.1.total_cmp(b.1))?;
        Some((targets[busiest].0.clone(), (*name).to_owned()))
    }
}
