//! Sums of traffic reports that are kept up to date with each report.
//!
//! Built for 300 gateways that report four times a second, the load of 3,000 targets and the
//! demand for a few thousand models and adapters. A report that replaces another one costs
//! time in proportion to what differs between them, where summing all reports anew for each
//! gateway took time in proportion to all of them, under the lock that every gateway needs.
//!
//! Counts are kept in integers wide enough that no sum overflows, so that a subtraction undoes
//! an addition exactly; they saturate where they are read. Rates are floating-point numbers, for
//! which that does not hold: the rate of each source is kept, and added up in the order of the
//! sources.

use std::{cmp, collections, net};

use super::{
    census, raft,
    traffic::{BrittleService, Demand, Load, Placed, Report, Source, TokenRate},
};

/// Unused numbers of targets, beyond those in use, above which targets are numbered anew.
const MAX_SPARE_NUMBERS: usize = 1_024;

/// How a report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Form {
    /// In full.
    Live,
    /// Its source is silent: with its running requests only, which may come back.
    Lapsed,
    /// Not at all.
    Ended,
}

/// Whether an item is added to the sums or taken out of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    Plus,
    Minus,
}

impl Sign {
    fn apply_to_count(self, sum: &mut u32, number: u32) {
        match self {
            Self::Plus => *sum += number,
            Self::Minus => *sum -= number,
        }
    }

    fn apply(self, sum: &mut u64, number: u64) {
        match self {
            Self::Plus => *sum += number,
            Self::Minus => *sum -= number,
        }
    }

    fn apply_to_work(self, sum: &mut u128, work: u64) {
        match self {
            Self::Plus => *sum += u128::from(work),
            Self::Minus => *sum -= u128::from(work),
        }
    }
}

/// Sum of the loads of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadSum {
    /// Identifies the target until [`Sums::layout`] changes.
    number: u32,
    /// Loads in the sum. A target without any keeps its number.
    loads: u32,
    running: u64,
    prompt_tokens: u64,
    placed: collections::BTreeMap<raft::Term, PlacedSum>,
}

/// Sum over the loads with requests that hold a place of one leader.
#[derive(Clone, Copy, Debug, Default)]
struct PlacedSum {
    /// Items in the sum.
    items: u32,
    count: u64,
    /// Running requests of these loads.
    running: u64,
    /// Those of them without a place of that leader.
    unplaced: u64,
}

/// Load of a target, as read from the sums.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Figures {
    pub(super) running: u32,
    pub(super) prompt_tokens: u32,
    pub(super) placed: Vec<Placed>,
}

/// A target in the sums.
#[derive(Clone, Debug)]
pub(super) struct Numbered<'s> {
    pub(super) number: u32,
    pub(super) target: &'s str,
    /// `None` without load.
    pub(super) figures: Option<Figures>,
}

impl LoadSum {
    fn count(&mut self, load: &Load, sign: Sign) {
        sign.apply_to_count(&mut self.loads, 1);
        sign.apply(&mut self.running, load.running.into());
        sign.apply(&mut self.prompt_tokens, load.prompt_tokens.into());
        for (at, placed) in load.placed.iter().enumerate() {
            let sum = self.placed.entry(placed.term).or_default();
            sign.apply_to_count(&mut sum.items, 1);
            sign.apply(&mut sum.count, placed.count.into());
            // The first item of a term is the one that counts.
            if load.placed[..at].iter().all(|p| p.term != placed.term) {
                sign.apply(&mut sum.running, load.running.into());
                sign.apply(&mut sum.unplaced, load.unplaced(placed.term).into());
            }
            if sum.items == 0 {
                self.placed.remove(&placed.term);
            }
        }
    }

    /// Returns the sum without the loads of `own`, which are part of it.
    fn without(&self, own: Option<&Self>) -> Option<Figures> {
        let none = Self::default();
        let own = own.unwrap_or(&none);
        if self.loads == own.loads {
            return None;
        }
        let placed = self.placed.iter().filter_map(|(term, sum)| {
            let own = own.placed.get(term).copied().unwrap_or_default();
            let count = saturate(sum.count - own.count);
            (sum.items > own.items).then_some(Placed { term: *term, count })
        });
        Some(Figures {
            running: saturate(self.running - own.running),
            prompt_tokens: saturate(self.prompt_tokens - own.prompt_tokens),
            placed: placed.collect(),
        })
    }

    fn unplaced(&self, term: raft::Term) -> u32 {
        let placed = self.placed.get(&term).copied().unwrap_or_default();
        saturate(self.running - placed.running + placed.unplaced)
    }
}

/// Sum of the demands for one model or adapter.
#[derive(Clone, Debug)]
struct DemandSum {
    service: String,
    model: String,
    adapter: Option<String>,
    demands: u32,
    work: u128,
    waiting: u64,
    running: u64,
}

impl DemandSum {
    fn new(demand: &Demand) -> Self {
        Self {
            service: demand.service.clone(),
            model: demand.model.clone(),
            adapter: demand.adapter.clone(),
            demands: 0,
            work: 0,
            waiting: 0,
            running: 0,
        }
    }

    fn key(&self) -> (&str, &str, Option<&str>) {
        (&self.service, &self.model, self.adapter.as_deref())
    }

    fn count(&mut self, demand: &Demand, form: Form, sign: Sign) {
        sign.apply_to_count(&mut self.demands, 1);
        sign.apply(&mut self.running, demand.running.into());
        if form == Form::Live {
            sign.apply_to_work(&mut self.work, demand.work);
            sign.apply(&mut self.waiting, demand.waiting.into());
        }
    }

    /// Returns the sum without the demands of `own`, which are part of it.
    fn without(&self, own: Option<&Self>) -> Option<Demand> {
        let (demands, work, waiting, running) =
            own.map_or((0, 0, 0, 0), |own| (own.demands, own.work, own.waiting, own.running));
        let demand = Demand {
            service: self.service.clone(),
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            work: u64::try_from(self.work - work).unwrap_or(u64::MAX),
            waiting: saturate(self.waiting - waiting),
            running: saturate(self.running - running),
        };
        (self.demands > demands).then_some(demand)
    }
}

/// Sums of the reports that were added and not taken out.
#[derive(Clone, Debug, Default)]
pub(super) struct Sums {
    loads: collections::BTreeMap<String, LoadSum>,
    /// Targets without load in `loads`.
    idle: usize,
    /// Changes whenever targets are numbered anew.
    layout: u64,
    /// In ascending order of keys.
    demands: Vec<DemandSum>,
    /// Rates of each workspace, in ascending order of sources.
    token_rates: collections::BTreeMap<String, Vec<(Source, f64)>>,
    gateways: collections::BTreeMap<census::GatewayId, u32>,
    /// How many reports state each limit, by service.
    brittle: collections::BTreeMap<String, collections::BTreeMap<u32, u32>>,
    relays: collections::BTreeMap<net::SocketAddr, u32>,
}

impl Sums {
    /// Adds a report.
    pub(super) fn add(&mut self, source: Source, report: &Report, form: Form) {
        self.count(source, report, form, Sign::Plus);
    }

    /// Takes out a report that was added in this form.
    pub(super) fn remove(&mut self, source: Source, report: &Report, form: Form) {
        self.count(source, report, form, Sign::Minus);
    }

    /// Replaces a live report by another one of the same source.
    pub(super) fn replace(&mut self, source: Source, old: &Report, new: &Report) {
        let of_target = |a: &Load, b: &Load| a.target.cmp(&b.target);
        changes(&old.loads, &new.loads, of_target, |load, sign| self.count_load(load, sign));
        let of_key = |a: &Demand, b: &Demand| key(a).cmp(&key(b));
        changes(&old.demands, &new.demands, of_key, |demand, sign| {
            self.count_demand(demand, Form::Live, sign);
        });
        if old.token_rates != new.token_rates {
            self.count_rates(source, old, Sign::Minus);
            self.count_rates(source, new, Sign::Plus);
        }
        changes(&old.gateways, &new.gateways, Ord::cmp, |id, sign| {
            tally(&mut self.gateways, *id, sign);
        });
        if old.brittle_services != new.brittle_services || old.relays != new.relays {
            self.count_rest(old, Sign::Minus);
            self.count_rest(new, Sign::Plus);
        }
    }

    /// Adds a running request's demand of a gateway that has restarted.
    pub(super) fn add_interrupted(&mut self, report: &Report) {
        self.count_demands(report, Form::Lapsed, Sign::Plus);
    }

    /// Takes out a demand that [`Self::add_interrupted`] added.
    pub(super) fn remove_interrupted(&mut self, demand: &Demand) {
        self.count_demand(demand, Form::Lapsed, Sign::Minus);
    }

    fn count(&mut self, source: Source, report: &Report, form: Form, sign: Sign) {
        if form == Form::Live {
            report.loads.iter().for_each(|load| self.count_load(load, sign));
            self.count_rates(source, report, sign);
            report.gateways.iter().for_each(|id| tally(&mut self.gateways, *id, sign));
            self.count_rest(report, sign);
        }
        self.count_demands(report, form, sign);
    }

    fn count_load(&mut self, load: &Load, sign: Sign) {
        if !self.loads.contains_key(&load.target) {
            let number = u32::try_from(self.loads.len()).unwrap_or(u32::MAX);
            self.loads.insert(load.target.clone(), LoadSum { number, ..LoadSum::default() });
            self.idle += 1;
        }
        let Some(sum) = self.loads.get_mut(&load.target) else {
            return;
        };
        self.idle -= usize::from(sum.loads == 0);
        sum.count(load, sign);
        self.idle += usize::from(sum.loads == 0);
        if self.idle > self.loads.len() - self.idle + MAX_SPARE_NUMBERS {
            self.number_anew();
        }
    }

    fn number_anew(&mut self) {
        self.loads.retain(|_, sum| sum.loads > 0);
        self.loads.values_mut().zip(0..).for_each(|(sum, number)| sum.number = number);
        self.idle = 0;
        self.layout += 1;
    }

    fn count_demands(&mut self, report: &Report, form: Form, sign: Sign) {
        let counts = |demand: &&Demand| match form {
            Form::Live => true,
            Form::Lapsed => demand.running > 0,
            Form::Ended => false,
        };
        for demand in report.demands.iter().filter(counts) {
            self.count_demand(demand, form, sign);
        }
    }

    fn count_demand(&mut self, demand: &Demand, form: Form, sign: Sign) {
        let found = self.demands.binary_search_by(|sum| sum.key().cmp(&key(demand)));
        let at = found.unwrap_or_else(|at| {
            self.demands.insert(at, DemandSum::new(demand));
            at
        });
        self.demands[at].count(demand, form, sign);
        if self.demands[at].demands == 0 {
            self.demands.remove(at);
        }
    }

    fn count_rates(&mut self, source: Source, report: &Report, sign: Sign) {
        for requested in &report.token_rates {
            let rates = match self.token_rates.get_mut(&requested.workspace) {
                Some(rates) => rates,
                None => self.token_rates.entry(requested.workspace.clone()).or_default(),
            };
            match sign {
                Sign::Plus => {
                    let at = rates.partition_point(|(s, _)| *s <= source);
                    rates.insert(at, (source, requested.rate));
                }
                Sign::Minus => {
                    rates.retain(|(s, _)| *s != source);
                    if rates.is_empty() {
                        self.token_rates.remove(&requested.workspace);
                    }
                }
            }
        }
    }

    /// Counts the limits of brittle services and the relays.
    fn count_rest(&mut self, report: &Report, sign: Sign) {
        for brittle in &report.brittle_services {
            let limits = self.brittle.entry(brittle.service.clone()).or_default();
            tally(limits, brittle.rejection_limit, sign);
            if limits.is_empty() {
                self.brittle.remove(&brittle.service);
            }
        }
        report.relays.iter().for_each(|relay| tally(&mut self.relays, *relay, sign));
    }

    /// Returns the number of requests at a target without a place of the leader of `term`.
    pub(super) fn unplaced(&self, target: &str, term: raft::Term) -> u32 {
        self.loads.get(target).map_or(0, |sum| sum.unplaced(term))
    }

    /// Identifies the numbers of the targets.
    pub(super) fn layout(&self) -> u64 {
        self.layout
    }

    /// Returns the number of targets that have a number.
    pub(super) fn numbers(&self) -> usize {
        self.loads.len()
    }

    /// Returns the sums without a report, which is part of them in this form.
    pub(super) fn without<'s>(&'s self, source: Source, report: &Report, form: Form) -> Rest<'s> {
        let mut own = Self::default();
        own.add(source, report, form);
        Rest { sums: self, own, source: Some(source) }
    }

    /// Returns the sums of all reports.
    pub(super) fn all(&self) -> Rest<'_> {
        Rest { sums: self, own: Self::default(), source: None }
    }
}

/// Sums without those of one source.
#[derive(Debug)]
pub(super) struct Rest<'s> {
    sums: &'s Sums,
    own: Sums,
    source: Option<Source>,
}

impl Rest<'_> {
    /// Returns all targets that have a number, in ascending order of ids.
    pub(super) fn loads(&self) -> impl Iterator<Item = Numbered<'_>> {
        let mut own = self.own.loads.iter().peekable();
        self.sums.loads.iter().map(move |(target, sum)| {
            let own = own.next_if(|(own_target, _)| *own_target == target);
            let figures = sum.without(own.map(|(_, own)| own));
            Numbered { number: sum.number, target, figures }
        })
    }

    /// Returns the demands, in ascending order of services, models and adapters.
    pub(super) fn demands(&self) -> impl Iterator<Item = Demand> {
        let mut own = self.own.demands.iter().peekable();
        self.sums.demands.iter().filter_map(move |sum| {
            let own = own.next_if(|own| own.key() == sum.key());
            sum.without(own)
        })
    }

    /// Returns the rates, in ascending order of workspaces.
    pub(super) fn token_rates(&self) -> impl Iterator<Item = (&str, f64)> {
        self.sums.token_rates.iter().filter_map(|(workspace, rates)| {
            let others = rates.iter().filter(|(source, _)| Some(*source) != self.source);
            let sum = others.fold(None, |sum, (_, rate)| Some(sum.unwrap_or(0.0) + rate));
            sum.map(|rate| (workspace.as_str(), rate))
        })
    }

    /// Returns the gateways, in ascending order.
    pub(super) fn gateways(&self) -> impl Iterator<Item = census::GatewayId> {
        left(&self.sums.gateways, &self.own.gateways).copied()
    }

    /// Returns the lowest limit of each brittle service, in ascending order of names.
    pub(super) fn brittle_services(&self) -> impl Iterator<Item = BrittleService> {
        let none = collections::BTreeMap::new();
        self.sums.brittle.iter().filter_map(move |(service, limits)| {
            let own = self.own.brittle.get(service).unwrap_or(&none);
            let rejection_limit = *left(limits, own).next()?;
            Some(BrittleService { service: service.clone(), rejection_limit })
        })
    }

    /// Returns the relays, in ascending order.
    pub(super) fn relays(&self) -> impl Iterator<Item = net::SocketAddr> {
        left(&self.sums.relays, &self.own.relays).copied()
    }

    /// Returns the sums as a report.
    pub(super) fn report(&self) -> Report {
        let loads = self.loads().filter_map(|numbered| {
            let Figures { running, prompt_tokens, placed } = numbered.figures?;
            Some(Load { target: numbered.target.to_owned(), running, prompt_tokens, placed })
        });
        let token_rates = self
            .token_rates()
            .map(|(workspace, rate)| TokenRate { workspace: workspace.to_owned(), rate });
        Report {
            loads: loads.collect(),
            demands: self.demands().collect(),
            token_rates: token_rates.collect(),
            gateways: self.gateways().collect(),
            brittle_services: self.brittle_services().collect(),
            leaving: Vec::new(),
            relays: self.relays().collect(),
            paces: Vec::new(),
        }
    }
}

/// Returns the keys that remain in `tallies` without `own`.
fn left<'t, K: Ord>(
    tallies: &'t collections::BTreeMap<K, u32>,
    own: &collections::BTreeMap<K, u32>,
) -> impl Iterator<Item = &'t K> {
    let remains = |(key, count): &(&K, &u32)| own.get(*key) != Some(*count);
    tallies.iter().filter(remains).map(|(key, _)| key)
}

fn tally<K: Ord>(tallies: &mut collections::BTreeMap<K, u32>, key: K, sign: Sign) {
    match (tallies.entry(key), sign) {
        (collections::btree_map::Entry::Occupied(entry), Sign::Minus) if *entry.get() <= 1 => {
            entry.remove();
        }
        (entry, sign) => sign.apply_to_count(entry.or_default(), 1),
    }
}

/// Calls `count` for the items by which `new` differs from `old`. Equal items are found where
/// both are in ascending order; others are taken out and added again.
fn changes<T: PartialEq>(
    old: &[T],
    new: &[T],
    order: impl Fn(&T, &T) -> cmp::Ordering,
    mut count: impl FnMut(&T, Sign),
) {
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    loop {
        match (old.peek(), new.peek()) {
            (None, None) => return,
            (Some(before), Some(after)) if before == after => {
                old.next();
                new.next();
            }
            (Some(before), Some(after)) if order(before, after).is_gt() => {
                new.next().into_iter().for_each(|item| count(item, Sign::Plus));
            }
            (Some(_), _) => old.next().into_iter().for_each(|item| count(item, Sign::Minus)),
            (None, Some(_)) => new.next().into_iter().for_each(|item| count(item, Sign::Plus)),
        }
    }
}

fn key(demand: &Demand) -> (&str, &str, Option<&str>) {
    (&demand.service, &demand.model, demand.adapter.as_deref())
}

fn saturate(sum: u64) -> u32 {
    u32::try_from(sum).unwrap_or(u32::MAX)
}
