//! State machine of a configuration change, without I/O.
//!
//! A change is a compare-and-swap on the revision that was read. If its response is lost, the key is read back: if it
//! has the write id of this change, the change was accepted; if it still has the revision of the first read, the same
//! compare-and-swap is retried; anything else is a conflict.

use compact_str::CompactString;
use derive_more::Display;

use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;

/// Maximum size of a value on the platform.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Number of lost responses after which a change ends as uncertain.
pub const MAX_LOST_RESPONSES: u32 = 5;

/// The configuration key as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the key; 0 if it is absent.
    pub revision: Revision,
    /// The stored document; `None` if the key is absent.
    pub envelope: Option<Envelope>,
}

/// A change that an operator requests.
#[derive(Clone, Debug)]
pub struct Request {
    /// The validated document.
    pub text: String,
    /// Author of the change.
    pub author: CompactString,
    /// Unique id of this change.
    pub write_id: CompactString,
    /// Generation that must be in force before.
    pub expected_generation: Option<Generation>,
    /// Highest generation of the members, if a control was queried; otherwise 0.
    pub cluster_generation: Generation,
}

/// The next step of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the value if the key still has the expected revision.
    Swap {
        /// Envelope as JSON.
        value: Vec<u8>,
        /// Revision that the key must have.
        expected: Revision,
    },
    /// Read the key, because it is unknown whether the write took effect.
    ReadBack,
    /// Finish with an outcome.
    Finish(Outcome),
}

/// Outcome of a change.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Outcome {
    /// The document was written.
    #[display("generation {_0} is accepted")]
    Accepted(Generation),
    /// The same document is already in force; nothing was written.
    #[display("generation {_0} already has this document; nothing was written")]
    Unchanged(Generation),
    /// The generation in force is not the one that the operator expected; nothing was written.
    #[display("conflict: generation {found} is in force, expected {expected}; nothing was written")]
    GenerationMismatch {
        /// Generation in force; 0 if there is none.
        found: Generation,
        /// Generation that the operator expected.
        expected: Generation,
    },
    /// Another operator changed the configuration concurrently; this document is not in force.
    #[display(
        "conflict: {author} applied generation {generation} concurrently; this document is not in force"
    )]
    Superseded {
        /// Generation in force.
        generation: Generation,
        /// Author of that generation.
        author: CompactString,
    },
    /// The key was removed concurrently; this document is not in force.
    #[display(
        "conflict: the configuration was removed concurrently; this document is not in force"
    )]
    Removed,
    /// The value exceeds the size limit; nothing was written.
    #[display(
        "the document with its envelope has {bytes} bytes, but the platform stores at most {MAX_VALUE_BYTES}; nothing was written"
    )]
    TooLarge {
        /// Bytes of the value.
        bytes: usize,
    },
    /// [`MAX_LOST_RESPONSES`] responses were lost; the write may still take effect.
    #[display(
        "{MAX_LOST_RESPONSES} responses of the platform were lost; check `config status` before you repeat the change"
    )]
    Uncertain,
}

/// A change in progress.
#[derive(Clone, Debug)]
pub struct Apply {
    envelope: Envelope,
    value: Vec<u8>,
    expected: Revision,
    lost_responses: u32,
}

impl Apply {
    /// Starts a change on the snapshot that was read.
    ///
    /// # Errors
    ///
    /// The outcome of the change if there is nothing to write.
    ///
    /// # Panics
    ///
    /// Never: an envelope always serialises to JSON.
    pub fn start(request: Request, current: &Snapshot) -> Result<Self, Outcome> {
        let stored = current.envelope.as_ref();
        let platform = stored.map_or(Generation(0), |envelope| envelope.generation);
        let found = platform.max(request.cluster_generation);
        if let Some(expected) = request
            .expected_generation
            .filter(|expected| *expected != found)
        {
            return Err(Outcome::GenerationMismatch { found, expected });
        }
        // If members have a newer generation, the platform was restored with an older value, and its document is not
        // the one in force.
        let is_platform_current = platform >= request.cluster_generation;
        if is_platform_current && stored.is_some_and(|envelope| envelope.text == request.text) {
            return Err(Outcome::Unchanged(found));
        }
        let generation = found.next();
        let envelope = Envelope::new(generation, request.write_id, request.author, request.text);
        let value = serde_json::to_vec(&envelope).expect("an envelope serialises to JSON");
        if value.len() > MAX_VALUE_BYTES {
            return Err(Outcome::TooLarge { bytes: value.len() });
        }
        Ok(Self {
            envelope,
            value,
            expected: current.revision,
            lost_responses: 0,
        })
    }

    /// Generation of the document after this change.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.envelope.generation
    }

    /// Whether an earlier write of this change may still take effect.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.lost_responses > 0
    }

    /// The compare-and-swap of this change.
    #[must_use]
    pub fn swap(&self) -> Action {
        Action::Swap {
            value: self.value.clone(),
            expected: self.expected,
        }
    }

    /// Handles the confirmation of the write.
    #[must_use]
    pub fn on_written(&self) -> Action {
        Action::Finish(Outcome::Accepted(self.generation()))
    }

    /// Handles a lost response of the write, or a failed read-back.
    #[must_use]
    pub fn on_lost_response(&mut self) -> Action {
        self.lost_responses += 1;
        if self.lost_responses >= MAX_LOST_RESPONSES {
            Action::Finish(Outcome::Uncertain)
        } else {
            Action::ReadBack
        }
    }

    /// Handles a read-back of the key, or a rejected write that returned the current value of the key.
    #[must_use]
    pub fn on_read(&self, current: &Snapshot) -> Action {
        match &current.envelope {
            Some(envelope) if envelope.write == self.envelope.write => self.on_written(),
            // The write has not taken effect but may still be in transit. A retry is safe, because at most one of the
            // two can match this revision.
            _ if current.revision == self.expected => self.swap(),
            Some(envelope) => Action::Finish(Outcome::Superseded {
                generation: envelope.generation,
                author: envelope.author.clone(),
            }),
            None => Action::Finish(Outcome::Removed),
        }
    }
}
