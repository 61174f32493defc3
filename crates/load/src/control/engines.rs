//! Fake engines of a measurement, in this process.

use crate::control::Error;
use crate::control::addresses::Addresses;
use crate::control::document;
use crate::control::document::MODEL;
use crate::control::document::STAGE_LAYERS;
use agatemill_core::layer;
use agatemill_core::quantity::Rate;
use agatemill_fake::engine;

/// Number of stages in each chain.
pub const STAGES: u32 = 2;

/// A fake engine and its definition in the document.
#[derive(Debug)]
pub struct Engine {
    /// Definition in the document.
    pub definition: document::Engine,
    /// Fake engine; `None` while it is down.
    pub running: Option<engine::Engine>,
    /// Throughput in token positions per second.
    throughput: Rate,
}

impl Engine {
    /// Starts the fake engine at its address.
    ///
    /// # Errors
    ///
    /// An invalid definition, or any error of opening the listener.
    pub async fn start(&mut self) -> Result<(), Error> {
        let start = self.definition.stage * STAGE_LAYERS;
        let layers = layer::Range::new(start, start + STAGE_LAYERS)?;
        let name = self.definition.name.parse()?;
        let settings = engine::Settings {
            listen: self.definition.address,
            throughput: self.throughput,
            instant: false,
            ..engine::Settings::instant(name, MODEL.parse()?, "1".parse()?, layers)
        };
        self.running = Some(engine::Engine::listen(settings).await?);
        Ok(())
    }
}

/// Starts `replicas` engines of each stage.
///
/// # Errors
///
/// Any error of opening a listener.
pub async fn start(
    addresses: Addresses,
    replicas: usize,
    throughput: Rate,
) -> Result<Vec<Engine>, Error> {
    let mut engines = Vec::new();
    for stage in 0..STAGES {
        for replica in 0..replicas {
            let address = addresses.engine(engines.len());
            let name = format!("engine-{stage}-{replica}");
            let mut engine = Engine {
                definition: document::Engine {
                    name,
                    address,
                    stage,
                },
                running: None,
                throughput,
            };
            engine.start().await?;
            engines.push(engine);
        }
    }
    Ok(engines)
}

/// Returns the definitions of all engines in the document.
#[must_use]
pub fn definitions(engines: &[Engine]) -> Vec<document::Engine> {
    engines
        .iter()
        .map(|engine| engine.definition.clone())
        .collect()
}
