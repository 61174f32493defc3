//! Output of a step.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Output of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// Input for the next stage.
    Activation {
        /// Opaque bytes.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// The next token, from the last stage.
    Token {
        /// The token.
        id: u32,
        /// Its text.
        text: CompactString,
        /// Whether the model has ended its answer with this token.
        end: bool,
    },
}
