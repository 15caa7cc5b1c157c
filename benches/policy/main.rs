//! The policy under load beside its naive twin, in one run.
//!
//! `cargo bench --bench policy` prints a table and, for programs, one JSON line
//! a run. `HORNBEAMDOCK_SEED` sets the seed, `HORNBEAMDOCK_ONLY` a part of a
//! deployment's or scenario's name.

#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts of the model are small"
)]

mod deployment;
mod report;
mod world;

use std::env;

use hornbeamdock::version::record::Objective;

use deployment::Scenario;
use world::{Policy, World};

fn main() {
    let seed = env::var("HORNBEAMDOCK_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let only = env::var("HORNBEAMDOCK_ONLY").unwrap_or_default();
    let policies = [
        ("worst", Policy::System(Objective::WorstServed)),
        ("attain", Policy::System(Objective::Attainment)),
        ("naive", Policy::Naive),
    ];
    println!("{:<10} {:<16} {:<7} {}", "where", "scenario", "policy", report::heading());
    let mut lines = Vec::new();
    for deployment in deployment::deployments() {
        for scenario in Scenario::ALL {
            let name = format!("{} {}", deployment.name, scenario.name());
            if !name.contains(&only) {
                continue;
            }
            for (label, policy) in policies {
                let outcome = World::new(&deployment, scenario, policy, seed).run();
                println!(
                    "{:<10} {:<16} {label:<7} {}",
                    deployment.name,
                    scenario.name(),
                    outcome.line()
                );
                let mut line = outcome.json();
                line["deployment"] = deployment.name.into();
                line["scenario"] = scenario.name().into();
                line["policy"] = label.into();
                line["seed"] = seed.into();
                lines.push(line);
            }
        }
    }
    for line in lines {
        println!("{line}");
    }
}
