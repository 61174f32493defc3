//! Settings of a fake engine.

use core::net::SocketAddr;

use clap::Args;

use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::quantity::Rate;

/// Settings of a fake engine; also the arguments of `agatemill-fake engine`.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Address to listen on; port 0 lets the operating system choose.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Name of the engine.
    #[arg(long)]
    pub server: id::Server,
    /// Loaded model.
    #[arg(long)]
    pub model: id::Model,
    /// Version of the model.
    #[arg(long)]
    pub version: id::Version,
    /// Loaded layers, such as 0..8.
    #[arg(long)]
    pub layers: layer::Range,
    /// Token positions per second through all loaded layers, such as 500/s.
    #[arg(long)]
    pub throughput: Rate,
    /// Run steps without delay, regardless of the throughput.
    #[arg(long)]
    pub instant: bool,
    /// Maximum number of steps in a batch.
    #[arg(long, default_value_t = 16)]
    pub batch: u32,
    /// Maximum queue depth.
    #[arg(long, default_value_t = 1024)]
    pub queue: u32,
    /// Capacity of the prefix cache in prompt positions.
    #[arg(long, default_value_t = 4096)]
    pub cache: u32,
    /// Age of the reported load in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub report_lag: u64,
    /// Delay of cache events in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub event_lag: u64,
    /// Drop every n-th cache event; 0 drops none.
    #[arg(long, default_value_t = 0)]
    pub event_gap: u64,
    /// Execute orders regardless of their fencing number.
    #[arg(long)]
    pub ignore_fencing: bool,
    /// Duration of a load order in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_delay: u64,
}

impl Settings {
    /// Settings of an engine that runs steps without delay, on a loopback port that the operating system chooses.
    ///
    /// # Panics
    ///
    /// Never: the fixed rate is valid.
    #[must_use]
    pub fn instant(
        server: id::Server,
        model: id::Model,
        version: id::Version,
        layers: layer::Range,
    ) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            server,
            model,
            version,
            layers,
            throughput: Rate::new(1_000.0).expect("1000 is a valid rate"),
            instant: true,
            batch: 16,
            queue: 1024,
            cache: 4096,
            report_lag: 0,
            event_lag: 0,
            event_gap: 0,
            ignore_fencing: false,
            load_delay: 0,
        }
    }
}
