//! Order of service among waiting requests.

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use serde::Serialize;

/// Order of service among waiting requests; a greater value goes first.
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
    /// Work that nobody waits for.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that somebody waits for.
    Interactive,
}
