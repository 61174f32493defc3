//! Keys of engine pools.

use derive_more::Display;

use agatemill_core::id;

/// The key of a pool: one version of a model in one half.
///
/// The half is part of the key so that engines, load and health of one half are not visible to the other.
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
