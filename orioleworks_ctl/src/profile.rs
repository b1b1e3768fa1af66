//! Profiles from options and files.

use std::path::PathBuf;

use orioleworks_proto::inner;
use orioleworks_settings::{self as settings, Problems, Settings};
use serde::{Deserialize, Serialize};

use crate::cli;

/// Profile with every field optional; a change sets only the fields that it changes.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileFile {
    /// Name of the profile.
    pub name: Option<String>,
    /// Kind of upstream that serves it.
    pub upstream_kind: Option<String>,
    /// Class of requests.
    pub class: Option<String>,
    /// Whether requests may run more than once.
    pub idempotent: Option<bool>,
    /// Whether upstreams are engines.
    pub engine: Option<bool>,
    /// Deadline of a request in milliseconds.
    pub deadline_ms: Option<u32>,
    /// Staleness bound in versions.
    pub max_staleness: Option<u32>,
    /// Objective that scheduling favours: staleness or idle time.
    pub objective: Option<String>,
    /// Weight in fair queueing.
    pub share: Option<u32>,
    /// Kind of upstream that judges samples.
    pub judge_kind: Option<String>,
    /// Extra tokens for second attempts, in thousandths.
    pub second_attempt_permille: Option<u32>,
}

/// Profile in a listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[allow(missing_docs)]
pub struct ProfileView {
    pub name: String,
    pub revision: u64,
    pub upstream_kind: String,
    pub class: &'static str,
    pub idempotent: bool,
    pub engine: bool,
    pub deadline_ms: u32,
    pub max_staleness: u32,
    pub objective: &'static str,
    pub share: u32,
    pub judge_kind: String,
    pub second_attempt_permille: u32,
}

impl Settings for ProfileFile {
    fn check(&self, problems: &mut Problems) {
        if let Some(class) = &self.class {
            problems.require("class", class_of(class).is_some(), CLASSES);
        }
        if let Some(objective) = &self.objective {
            problems.require("objective", objective_of(objective).is_some(), OBJECTIVES);
        }
        if let Some(deadline_ms) = self.deadline_ms {
            problems.range("deadline_ms", deadline_ms, 1..=DEADLINE_MAX_MS, "ms");
        }
        if let Some(share) = self.share {
            problems.range("share", share, 1..=1000, "parts");
        }
        if let Some(permille) = self.second_attempt_permille {
            problems.range("second_attempt_permille", permille, 0..=1000, "thousandths");
        }
    }
}

const CLASSES: &str = "accepted are lookup, booking and rollout";
const OBJECTIVES: &str = "accepted are staleness and idle_time";
/// The samples of a step complete within 4 minutes; a deadline above one hour is an input error.
const DEADLINE_MAX_MS: u32 = 3_600_000;

fn class_of(name: &str) -> Option<inner::Class> {
    match name {
        "lookup" => Some(inner::Class::Lookup),
        "booking" => Some(inner::Class::Booking),
        "rollout" => Some(inner::Class::Rollout),
        _ => None,
    }
}

fn objective_of(name: &str) -> Option<inner::Objective> {
    match name {
        "staleness" => Some(inner::Objective::Staleness),
        "idle_time" => Some(inner::Objective::Idle),
        _ => None,
    }
}

/// Name of a class.
pub fn class_name(class: inner::Class) -> &'static str {
    match class {
        inner::Class::Lookup => "lookup",
        inner::Class::Booking => "booking",
        inner::Class::Rollout => "rollout",
        inner::Class::Unspecified => "unspecified",
    }
}

/// Name of an objective.
pub fn objective_name(objective: inner::Objective) -> &'static str {
    match objective {
        inner::Objective::Staleness => "staleness",
        inner::Objective::Idle => "idle_time",
        inner::Objective::Unspecified => "unspecified",
    }
}

impl From<&inner::VersionedProfile> for ProfileView {
    fn from(versioned: &inner::VersionedProfile) -> Self {
        let p = versioned.profile.clone().unwrap_or_default();
        Self {
            revision: versioned.revision,
            class: class_name(p.class()),
            objective: objective_name(p.objective()),
            name: p.name,
            upstream_kind: p.upstream_kind,
            idempotent: p.idempotent,
            engine: p.engine,
            deadline_ms: p.deadline_ms,
            max_staleness: p.max_staleness,
            share: p.share,
            judge_kind: p.judge_kind,
            second_attempt_permille: p.second_attempt_permille,
        }
    }
}

macro_rules! profile_options {
    ($command:ty) => {
        impl $command {
            /// Partial profile from the options, which override the values of the profile file.
            ///
            /// # Errors
            ///
            /// Returns the key or option that is wrong.
            pub fn partial(&self) -> Result<ProfileFile, String> {
                let file = read_file(&self.file)?;
                let merged = ProfileFile {
                    name: self.name.clone().or(file.name),
                    upstream_kind: self.upstream_kind.clone().or(file.upstream_kind),
                    class: self.class.clone().or(file.class),
                    idempotent: self.idempotent.or(file.idempotent),
                    engine: self.engine.or(file.engine),
                    deadline_ms: self.deadline_ms.or(file.deadline_ms),
                    max_staleness: self.max_staleness.or(file.max_staleness),
                    objective: self.objective.clone().or(file.objective),
                    share: self.share.or(file.share),
                    judge_kind: self.judge_kind.clone().or(file.judge_kind),
                    second_attempt_permille: self
                        .second_attempt_permille
                        .or(file.second_attempt_permille),
                };
                merged.checked()
            }

            /// Options of the order.
            pub fn order(&self) -> cli::OrderOptions {
                let (order_id, expect) = (self.order_id.clone(), self.expect);
                cli::OrderOptions { order_id, expect, wait: self.wait }
            }
        }
    };
}

profile_options!(cli::AddProfile);
profile_options!(cli::ChangeProfile);

fn read_file(file: &Option<PathBuf>) -> Result<ProfileFile, String> {
    file.as_ref()
        .map_or(Ok(ProfileFile::default()), |path| settings::load(path).map_err(|e| e.to_string()))
}

impl ProfileFile {
    /// Checks the merged values like those of a profile file.
    fn checked(self) -> Result<Self, String> {
        let mut problems = Problems::default();
        self.check(&mut problems);
        match problems.into_first() {
            Some((key, reason)) => Err(format!("{key}: {reason}")),
            None => Ok(self),
        }
    }

    /// Complete profile; missing fields come from `base`, or from the defaults of a new profile.
    ///
    /// # Errors
    ///
    /// Returns the value that is missing.
    pub fn complete(self, base: Option<inner::Profile>) -> Result<inner::Profile, String> {
        let is_new = base.is_none();
        let mut p = base.unwrap_or_else(|| inner::Profile {
            deadline_ms: 30_000,
            share: 1,
            objective: inner::Objective::Staleness.into(),
            second_attempt_permille: 50,
            ..inner::Profile::default()
        });
        let required = |missing: bool, key: &str| match missing && is_new {
            true => Err(format!("a new profile needs {key}")),
            false => Ok(()),
        };
        required(self.name.is_none(), "a name")?;
        required(self.upstream_kind.is_none(), "upstream_kind")?;
        required(self.class.is_none(), "class")?;
        // Neither value is a safe default: `true` may run a booking twice, `false` requires a key from every caller.
        required(self.idempotent.is_none(), "idempotent")?;
        p.name = self.name.unwrap_or(p.name);
        p.upstream_kind = self.upstream_kind.unwrap_or(p.upstream_kind);
        p.class = self.class.and_then(|c| class_of(&c)).map_or(p.class, i32::from);
        p.objective = self.objective.and_then(|o| objective_of(&o)).map_or(p.objective, i32::from);
        p.idempotent = self.idempotent.unwrap_or(p.idempotent);
        p.engine = self.engine.unwrap_or(p.engine);
        p.deadline_ms = self.deadline_ms.unwrap_or(p.deadline_ms);
        p.max_staleness = self.max_staleness.unwrap_or(p.max_staleness);
        p.share = self.share.unwrap_or(p.share);
        p.judge_kind = self.judge_kind.unwrap_or(p.judge_kind);
        p.second_attempt_permille =
            self.second_attempt_permille.unwrap_or(p.second_attempt_permille);
        Ok(p)
    }
}
