//! Policies to compare: settings of the entries and fields of the profiles.

use displaydoc::Display;
use orioleworks_proto::inner;
use serde_json::{Map, Value, json};

/// A policy, given by its differences from the defaults.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// Text that the policy was parsed from.
    pub name: String,
    /// Section `routing` of the entries' settings.
    pub routing: Map<String, Value>,
    /// Budget for second attempts of every engine profile; `None` for the default.
    pub second_attempt_permille: Option<u32>,
    /// Objective of every engine profile; `None` for the default.
    pub objective: Option<inner::Objective>,
}

/// Names of the parts of a policy.
pub const NAMES: &str = "default, local-samples, drain-unless-all, fifo, fixed-limit=N, unlimited-retries, random-choice, no-affinity, \
    second-attempts=PERMILLE, objective-idle, objective-staleness; several are joined by +";

/// unknown policy `{0}`
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct PolicyError(String);

impl std::error::Error for PolicyError {}

impl std::str::FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        let mut policy = Self { name: text.into(), ..Self::default() };
        for part in text.split('+') {
            policy.apply(part).ok_or_else(|| PolicyError(part.into()))?;
        }
        Ok(policy)
    }
}

impl Policy {
    fn apply(&mut self, part: &str) -> Option<()> {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let (key, setting) = match (name, value) {
            ("default", "") => return Some(()),
            ("objective-idle", "") => {
                self.objective = Some(inner::Objective::Idle);
                return Some(());
            }
            ("objective-staleness", "") => {
                self.objective = Some(inner::Objective::Staleness);
                return Some(());
            }
            ("second-attempts", permille) => {
                self.second_attempt_permille = Some(permille.parse().ok()?);
                return Some(());
            }
            ("fixed-limit", limit) => ("fixed_limit", json!(limit.parse::<u32>().ok()?)),
            ("local-samples", "") => ("local_samples", json!(true)),
            ("drain-unless-all", "") => ("drain_unless_all", json!(true)),
            ("fifo", "") => ("fifo_queue", json!(true)),
            ("unlimited-retries", "") => ("unlimited_retries", json!(true)),
            ("random-choice", "") => ("random_choice", json!(true)),
            ("no-affinity", "") => ("no_affinity", json!(true)),
            _ => return None,
        };
        self.routing.insert(key.into(), setting);
        Some(())
    }

    /// Section `routing` of the entries' settings; null for the defaults.
    pub fn routing(&self) -> Value {
        if self.routing.is_empty() { Value::Null } else { Value::Object(self.routing.clone()) }
    }

    /// Sets the fields of the engine profiles that the policy changes.
    pub fn apply_to(&self, profiles: &mut [inner::Profile]) {
        for profile in profiles.iter_mut().filter(|profile| profile.engine) {
            if let Some(permille) = self.second_attempt_permille {
                profile.second_attempt_permille = permille;
            }
            if let Some(objective) = self.objective {
                profile.objective = objective.into();
            }
        }
    }
}
