//! Chains of engines.

use core::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;

use agatemill_core::id;
use agatemill_core::layer;

/// One engine of a chain with the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub server: id::Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// Layers that it runs; part of those that it holds.
    pub layers: layer::Range,
}

/// Engines that together run every layer of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// The model.
    model: id::Model,
    /// The version.
    version: id::Version,
    /// Invariant: the ranges start at 0, follow one another without gap or overlap, and end at the
    /// model's number of layers.
    stages: Vec<Stage>,
}

/// Stages that are not a chain.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// A stage does not start where the one before ended.
    #[display("stage {index} starts at layer {found} instead of {expected}")]
    Gap {
        /// Index of the stage.
        index: usize,
        /// Layer at which it starts.
        found: u32,
        /// Layer at which it has to start.
        expected: u32,
    },
    /// The last stage does not end at the last layer.
    #[display("the chain ends at layer {found} instead of {expected}")]
    Short {
        /// Layer at which it ends.
        found: u32,
        /// The model's number of layers.
        expected: u32,
    },
}

impl Chain {
    /// Creates a chain for a model of `layers` layers.
    ///
    /// # Errors
    ///
    /// [`Invalid`] when the stages leave a layer out or run one twice.
    pub fn new(
        model: id::Model,
        version: id::Version,
        layers: u32,
        stages: Vec<Stage>,
    ) -> Result<Self, Invalid> {
        let mut expected = 0;
        for (index, stage) in stages.iter().enumerate() {
            let found = stage.layers.start();
            if found != expected {
                return Err(Invalid::Gap {
                    index,
                    found,
                    expected,
                });
            }
            expected = stage.layers.end();
        }
        if expected != layers {
            return Err(Invalid::Short {
                found: expected,
                expected: layers,
            });
        }
        Ok(Self {
            model,
            version,
            stages,
        })
    }

    /// The model.
    #[must_use]
    pub fn model(&self) -> &id::Model {
        &self.model
    }

    /// The version of the model.
    #[must_use]
    pub fn version(&self) -> &id::Version {
        &self.version
    }

    /// The stages in the order of their layers, at least one.
    #[must_use]
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }
}
