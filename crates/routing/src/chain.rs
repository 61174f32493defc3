//! Chains of engines that together run a model.

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
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Layers that the engine runs in this chain, a subset of its loaded layers.
    pub layers: layer::Range,
}

/// A sequence of engines that together run every layer of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// The model.
    model: id::Model,
    /// The version.
    version: id::Version,
    /// Invariant: the layer ranges start at 0, are contiguous without gap or overlap, and end at the
    /// model's layer count.
    stages: Vec<Stage>,
}

/// Why a list of stages is not a valid chain.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// A stage does not start at the end of the previous stage.
    #[display("stage {index} starts at layer {found} instead of {expected}")]
    Gap {
        /// Index of the stage.
        index: usize,
        /// Layer at which the stage starts.
        found: u32,
        /// Layer at which the stage must start.
        expected: u32,
    },
    /// The last stage does not end at the last layer.
    #[display("the chain ends at layer {found} instead of {expected}")]
    Short {
        /// Layer at which the last stage ends.
        found: u32,
        /// The model's layer count.
        expected: u32,
    },
}

impl Chain {
    /// Creates a chain for a model of `layers` layers.
    ///
    /// # Errors
    ///
    /// Returns [`Invalid`] if the stages skip a layer or run one twice.
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

    /// The stages in layer order; never empty.
    #[must_use]
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }
}
