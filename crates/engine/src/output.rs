//! Output of a step.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Output of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// Input for the next stage.
    Activation {
        /// Activations, opaque to this crate.
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// The next token, from the last stage.
    Token {
        /// Token id.
        id: u32,
        /// Text of the token.
        text: CompactString,
        /// Whether this token ends the answer.
        end: bool,
    },
}
