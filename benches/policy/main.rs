//! Simulates scheduling, rate limiting and placement under load, and compares
//! them with a baseline (`naive`). The policies `worst` and `attain` are the
//! system's, with one of its two objectives each.
//!
//! `cargo bench --bench policy` prints a table, then one JSON object per line for
//! each simulation. `HORNBEAMDOCK_SEED` sets the random seed. With
//! `HORNBEAMDOCK_ONLY` only those simulations run whose deployment and scenario,
//! joined by a space, contain this text.

#![allow(
    missing_docs,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the simulated quantities are small"
)]

mod deployment;
mod report;
mod world;

use std::env;

use hornbeamdock::version::record::Objective;

use deployment::Scenario;
use world::{Policy, Simulation};

fn main() {
    let seed = env::var("HORNBEAMDOCK_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let name_filter = env::var("HORNBEAMDOCK_ONLY").unwrap_or_default();
    let policies = [
        ("worst", Policy::System(Objective::WorstServed)),
        ("attain", Policy::System(Objective::Attainment)),
        ("naive", Policy::Naive),
    ];
    println!("{:<10} {:<16} {:<7} {}", "where", "scenario", "policy", report::table_heading());
    let mut lines = Vec::new();
    for deployment in deployment::deployments() {
        for scenario in Scenario::ALL {
            let name = format!("{} {}", deployment.name, scenario.name());
            if !name.contains(&name_filter) {
                continue;
            }
            for (label, policy) in policies {
                let outcome = Simulation::new(&deployment, scenario, policy, seed).run();
                println!(
                    "{:<10} {:<16} {label:<7} {}",
                    deployment.name,
                    scenario.name(),
                    outcome.table_row()
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
