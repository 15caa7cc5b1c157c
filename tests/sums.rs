//! The sums of reports that are kept up to date, compared with sums that are built anew from all
//! reports: a sum that drifts would distort limits, placement and the choice of targets for good.

#[path = "support/traffic_model.rs"]
mod traffic_model;

use std::time::Duration;

use hornbeamdock::version::traffic::{
    BrittleService, Demand, Load, Placed, Report, Source, TokenRate, Traffic,
};
use proptest::{collection::vec, prelude::*};
use traffic_model::Model;

#[derive(Clone, Debug)]
enum Step {
    Record(Source, Report),
    Restart(u32, Report),
    Wait(u64),
}

fn load() -> impl Strategy<Value = Load> {
    let number = prop_oneof![4 => 0..9_u32, 1 => Just(u32::MAX)];
    let placed = vec((1..4_u64, 0..5_u32), 0..3);
    (0..6, number.clone(), number, placed).prop_map(|(target, running, prompt_tokens, placed)| {
        let placed = placed.into_iter().map(|(term, count)| Placed { term, count }).collect();
        Load { target: format!("t{target}"), running, prompt_tokens, placed }
    })
}

fn demand() -> impl Strategy<Value = Demand> {
    let work = prop_oneof![4 => 0..9_u64, 1 => Just(u64::MAX)];
    (0..3, prop::option::of(0..3), work, 0..3_u32, 0..3_u32).prop_map(
        |(model, adapter, work, waiting, running)| Demand {
            service: "s".into(),
            model: format!("m{model}"),
            adapter: adapter.map(|a| format!("a{a}")),
            work,
            waiting,
            running,
        },
    )
}

prop_compose! {
    fn report()(
        loads in vec(load(), 0..6),
        demands in vec(demand(), 0..5),
        rates in vec((0..4, 0.0..1e9_f64), 0..4),
        gateways in vec(0..6_u32, 0..4),
        brittle in vec((0..2, 1..5_u32), 0..3),
        relays in vec(1..8_u16, 0..4),
        sorted in any::<bool>(),
    ) -> Report {
        let rate = |(w, rate)| TokenRate { workspace: format!("w{w}"), rate };
        let limit = |(s, rejection_limit)| BrittleService { service: format!("s{s}"), rejection_limit };
        let mut report = Report {
            loads,
            demands,
            token_rates: rates.into_iter().map(rate).collect(),
            gateways,
            brittle_services: brittle.into_iter().map(limit).collect(),
            leaving: Vec::new(),
            relays: relays.into_iter().map(|port| ([127, 0, 0, 1], port).into()).collect(),
            paces: Vec::new(),
        };
        if sorted {
            report.loads.sort_by(|a, b| a.target.cmp(&b.target));
        }
        report
    }
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = (0..5_u32).prop_map(Source::Gateway);
    let source = prop_oneof![gateway, (1..3_u64).prop_map(Source::Replica)];
    prop_oneof![
        4 => (source, report()).prop_map(|(source, report)| Step::Record(source, report)),
        1 => (0..5_u32, report()).prop_map(|(gateway, report)| Step::Restart(gateway, report)),
        2 => prop_oneof![Just(250_u64), Just(1_000), Just(2_000), 0..4_000_u64].prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn sums_equal_those_built_anew(steps in vec(step(), 1..40), advances in any::<bool>()) {
        let (mut traffic, mut model) = (Traffic::default(), Model::default());
        let mut now = Duration::from_secs(1);
        for step in steps {
            match step {
                Step::Record(source, report) => {
                    traffic.record(source, report.clone(), now);
                    model.record(source, report, now);
                }
                Step::Restart(gateway, report) => {
                    traffic.record_restart(gateway, report.clone(), now);
                    model.record_restart(gateway, report, now);
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            if advances {
                traffic.advance(now);
            }
            prop_assert_eq!(traffic.total(now), model.total(now));
            prop_assert_eq!(traffic.local(now), model.local(now));
            for gateway in 0..6 {
                prop_assert_eq!(traffic.excluding(gateway, now), model.excluding(gateway, now));
            }
            for (target, term) in (0..6).flat_map(|target| (0..4).map(move |term| (target, term))) {
                let target = format!("t{target}");
                let unplaced = traffic.unplaced(&target, term, now);
                prop_assert_eq!(unplaced, model.unplaced(&target, term, now));
            }
        }
    }
}
