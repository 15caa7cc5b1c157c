//! Simulates scheduling, rate limiting and placement under load, and compares
//! them with a baseline (`naive`) under the same load.
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
use world::{Policy, World};

fn main() {
    let seed = env::var("HORNBEAMDOCK_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let name_filter = env::var("HORNBEAMDOCK_ONLY").unwrap_or_default();
    let policies = [
        ("worst", Policy::System(Objective::Worst)),
        ("attain", Policy::System(Objective::Attainment)),
        ("naive", Policy::Naive),
    ];
    println!("{:<10} {:<16} {:<7} {}", "where", "scenario", "policy", report::table_heading());
    let mut objects = Vec::new();
    for deployment in deployment::deployments() {
        for scenario in Scenario::ALL {
            let name = format!("{} {}", deployment.name, scenario.name());
            if !name.contains(&name_filter) {
                continue;
            }
            for (label, policy) in policies {
                let outcome = World::new(&deployment, scenario, policy, seed).run();
                println!(
                    "{:<10} {:<16} {label:<7} {}",
                    deployment.name,
                    scenario.name(),
                    outcome.table_row()
                );
                let mut object = outcome.json();
                object["deployment"] = deployment.name.into();
                object["scenario"] = scenario.name().into();
                object["policy"] = label.into();
                object["seed"] = seed.into();
                objects.push(object);
            }
        }
    }
    for object in objects {
        println!("{object}");
    }
}
