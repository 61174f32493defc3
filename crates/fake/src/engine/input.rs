//! Input of a step of a fake engine.

use crate::engine::state::failure;
use crate::model;
use agatemill_engine::Failure;
use agatemill_engine::Input;
use agatemill_engine::Step;
use agatemill_engine::failure::Code;

/// Size of one position in an activation.
const POSITION_BYTES: usize = 8;

/// Size of the trailer after the positions, which holds the position at which the answer ends.
const END_BYTES: usize = 4;

/// The decoded inputs of a step.
#[derive(Debug)]
pub struct Inputs {
    /// Input of the first layer of the step for each position; never empty.
    pub values: Vec<u64>,
    /// Position after the last token of the answer.
    pub end: u32,
}

impl Inputs {
    /// Decodes the input of a step in a session whose answer ends at `end`.
    ///
    /// # Errors
    ///
    /// A failure with [`Code::BadRequest`] if the input does not match the layers and position of the step.
    pub fn new(step: &Step, end: u32) -> Result<Self, Failure> {
        let first = step.layers.start() == 0;
        let embed = |id: &u32| model::embed(step.model.as_str(), *id);
        match &step.input {
            Input::Prompt { text, generated } if first && step.position.0 == 0 => {
                let prompt = model::tokenize(text);
                let end = model::end_position(&prompt);
                let values = prompt.iter().chain(generated).map(embed).collect();
                Ok(Self { values, end })
            }
            Input::Token { id } if first && step.position.0 > 0 => Ok(Self {
                values: vec![embed(id)],
                end,
            }),
            Input::Activation { count, data } if !first => decode(*count, data),
            _ => Err(failure(Code::BadRequest, "the input does not fit the step")),
        }
    }

    /// Number of positions.
    ///
    /// # Panics
    ///
    /// Never: the size limit of requests keeps the number of positions below `u32::MAX`.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.values.len()).expect("requests are limited")
    }

    /// Encodes the outputs for the next stage.
    #[must_use]
    pub fn activation(&self, outputs: &[u64]) -> Vec<u8> {
        let mut data: Vec<u8> = outputs
            .iter()
            .flat_map(|output| output.to_le_bytes())
            .collect();
        data.extend(self.end.to_le_bytes());
        data
    }
}

fn decode(count: u32, data: &[u8]) -> Result<Inputs, Failure> {
    let invalid = || failure(Code::BadRequest, "the activation has another length");
    let (data, end) = data.split_last_chunk::<END_BYTES>().ok_or_else(invalid)?;
    let (positions, rest) = data.as_chunks::<POSITION_BYTES>();
    if count == 0 || positions.len() != count as usize || !rest.is_empty() {
        return Err(invalid());
    }
    Ok(Inputs {
        values: positions
            .iter()
            .map(|bytes| u64::from_le_bytes(*bytes))
            .collect(),
        end: u32::from_le_bytes(*end),
    })
}
