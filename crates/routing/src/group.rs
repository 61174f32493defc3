//! Route keys.

use derive_more::Display;

use agatemill_core::id;

/// What a chain serves: one version of a model for one half.
///
/// The half is part of the key, so that the engines, load and health of one half are invisible to the
/// other.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{half}/{model}@{version}")]
pub struct Group {
    /// The half.
    pub half: id::Half,
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: id::Version,
}
