//! Scheduling priority of requests.

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

/// Scheduling priority of a queued request; a greater value is served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display(rename_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Requests whose responses nobody waits for.
    Batch,
    /// Ordinary requests.
    #[default]
    Normal,
    /// Requests whose responses somebody waits for.
    Interactive,
}
