//! The simulated deployments and the scenarios of their load.

use std::time::Duration;

/// A deployment: targets, gateways, and the workspaces that send requests.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub targets: usize,
    pub models: usize,
    pub adapters: usize,
    /// Limits of the model store: loads per 1000 s, concurrent model loads, and
    /// concurrent adapter loads.
    pub store: (u64, u32, u32),
    pub workspaces: Vec<Workspace>,
    pub gateways: usize,
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct Workspace {
    pub name: &'static str,
    /// Fraction of the offered load.
    pub share: f64,
}

/// Memory of a target and of a model. Three models fit in a target.
pub const TARGET_MIB: u64 = 48_000;
pub const MODEL_MIB: u64 = 14_000;
pub const ADAPTER_MIB: u64 = 200;

/// Requests that a target runs at once.
pub const SLOTS: u32 = 8;

/// Time per output token, and per prompt token outside a cached prefix.
pub const TOKEN_TIME: Duration = Duration::from_millis(20);
pub const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(400);

/// Time to load a model and an adapter while the store is below its limit of
/// concurrent loads.
pub const MODEL_LOAD_TIME: Duration = Duration::from_secs(1);
pub const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(8);

/// An interactive request is on time if its first token comes within this time
/// after its arrival.
pub const FIRST_TOKEN_LIMIT: Duration = Duration::from_secs(1);

/// A deferrable request is on time if it ends within this time after its
/// arrival.
pub const DEFERRABLE_LIMIT: Duration = Duration::from_mins(2);

/// Time during which requests arrive.
pub const ARRIVAL_PERIOD: Duration = Duration::from_mins(5);

pub fn deployments() -> [Deployment; 2] {
    let workspaces = |names: [&'static str; 5]| {
        let shares = [0.4, 0.3, 0.15, 0.1, 0.05];
        names.into_iter().zip(shares).map(|(name, share)| Workspace { name, share }).collect()
    };
    [
        Deployment {
            name: "dk-east",
            targets: 9,
            models: 14,
            adapters: 40,
            store: (1_000, 2, 16),
            workspaces: workspaces(["lilies", "ponds", "reeds", "moss", "fern"]),
            gateways: 13,
        },
        Deployment {
            name: "hkd",
            targets: 12,
            models: 15,
            adapters: 75,
            store: (1_400, 8, 64),
            workspaces: workspaces(["yards", "ports", "lifts", "mills", "docks"]),
            gateways: 13,
        },
    ]
}

/// A change of the load or a failure during the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Constant average demand.
    Steady,
    /// The second workspace sends six times its usual load.
    Flood,
    /// The demand for each model changes repeatedly, by up to a factor of ten.
    DemandShift,
    /// One target fails after half of `ARRIVAL_PERIOD`.
    TargetLost,
    /// The gateways are restarted one after the other.
    RollingRestart,
}

impl Scenario {
    pub const ALL: [Self; 5] =
        [Self::Steady, Self::Flood, Self::DemandShift, Self::TargetLost, Self::RollingRestart];

    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Flood => "flood",
            Self::DemandShift => "swing",
            Self::TargetLost => "target-lost",
            Self::RollingRestart => "rolling-restart",
        }
    }
}

impl Deployment {
    /// Returns the requests per second that the targets could serve if every
    /// slot were always in use.
    pub fn capacity(&self) -> f64 {
        let slots = self.targets as f64 * f64::from(SLOTS);
        let request_time =
            TOKEN_TIME.as_secs_f64() * MEAN_OUTPUT + PROMPT_TOKEN_TIME.as_secs_f64() * MEAN_PROMPT;
        slots / request_time
    }

    /// Returns the relative demand for a model, the inverse of its rank. In
    /// `DemandShift` the ranks move by five every 40 s, so that the demand for a
    /// model changes by up to about a factor of ten at once.
    pub fn demand(&self, model: usize, scenario: Scenario, now: Duration) -> f64 {
        let shift =
            if scenario == Scenario::DemandShift { now.as_secs() as usize / 40 * 5 } else { 0 };
        let rank = (model + shift) % self.models;
        1.0 / (rank as f64 + 1.0)
    }
}

/// Mean prompt tokens and output tokens of a request.
pub const MEAN_PROMPT: f64 = 200.0;
pub const MEAN_OUTPUT: f64 = 60.0;
