//! Models whose layers are spread over engines.

use compact_str::CompactString;

use agatemill_core::id;
use agatemill_core::layer;

/// A model whose layers are spread over engines, with the figures that its operator states.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Number of layers.
    pub layers: u32,
    /// Memory of one layer's weights in MB.
    pub layer_mb: f64,
    /// Memory that one token of a request takes in all layers together, in bytes.
    pub token_bytes: f64,
    /// Requests that an engine runs at once as the first of a path.
    pub slots: u32,
    /// Milliseconds of a decode step through all layers at a step factor of 1.
    pub step_ms: f64,
    /// Milliseconds that each request adds to a step.
    pub step_request_ms: f64,
    /// Milliseconds that 1,000 tokens of context of a request add to a step.
    pub step_context_ms: f64,
    /// Tokens that an engine generates for each stream in one pass, which arrive in one event.
    pub pass_tokens: f64,
    /// Prompt tokens read per millisecond through all layers at a read factor of 1.
    pub read_tokens_per_ms: f64,
    /// Seconds to load the weights of all layers.
    pub load_s: f64,
    /// Bytes transferred between two engines for each token.
    pub activation_bytes: f64,
    /// Bandwidth between two availability zones in Mbit/s, shared by all requests.
    pub zone_link_mbps: f64,
    /// Mean length of a prompt in tokens.
    pub usual_prompt: f64,
    /// Mean length of the output in tokens.
    pub usual_answer: f64,
    /// Kinds of accelerators.
    pub accelerators: Vec<Accelerator>,
    /// One-way delays between availability zones.
    pub delays: Vec<Delay>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name.
    pub name: CompactString,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Factor on the time of decode steps.
    pub step_factor: f64,
    /// Factor on the time to read prompts.
    pub read_factor: f64,
}

/// One-way delay between two availability zones, in both directions.
#[derive(Clone, Debug, PartialEq)]
pub struct Delay {
    /// One zone.
    pub from: id::Zone,
    /// The other zone.
    pub to: id::Zone,
    /// Delay in milliseconds.
    pub ms: f64,
}

impl Model {
    /// Looks up an accelerator by the name of its kind.
    #[must_use]
    pub fn accelerator(&self, kind: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|known| known.name == kind)
    }

    /// Whether all layers of a range are layers of the model. An entry may list others.
    #[must_use]
    pub fn has_layers(&self, range: layer::Range) -> bool {
        range.end() <= self.layers
    }

    /// Tokens of requests that fit into the memory left free by `count` layers; 0 for an engine without layers.
    #[must_use]
    pub fn token_capacity(&self, accelerator: &Accelerator, count: u32) -> f64 {
        if count == 0 {
            return 0.0;
        }
        let free_mb = accelerator.memory_mb - f64::from(count) * self.layer_mb;
        let token_mb = self.token_bytes / f64::from(self.layers) * f64::from(count) / 1e6;
        (free_mb / token_mb).max(0.0)
    }

    /// Largest number of layers that leaves memory for `tokens` tokens of requests; at least one if a layer
    /// fits into the memory at all.
    #[must_use]
    pub fn max_layers(&self, accelerator: &Accelerator, tokens: f64) -> u32 {
        let token_mb = self.token_bytes / f64::from(self.layers) / 1e6;
        let quotient = accelerator.memory_mb / (self.layer_mb + tokens * token_mb);
        let fits = (accelerator.memory_mb / self.layer_mb).floor();
        // The quotient is small and not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = quotient.floor().max(1.0).min(fits) as u32;
        count.min(self.layers)
    }

    /// One-way delay between two zones in milliseconds; 0 when it is not listed.
    #[must_use]
    pub fn delay_ms(&self, from: &id::Zone, to: &id::Zone) -> f64 {
        if from == to {
            return 0.0;
        }
        let known = self.delays.iter().find(|delay| {
            (&delay.from == from && &delay.to == to) || (&delay.from == to && &delay.to == from)
        });
        known.map_or(0.0, |delay| delay.ms)
    }
}
