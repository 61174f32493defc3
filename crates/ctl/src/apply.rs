//! Decisions of a configuration change, without I/O.
//!
//! A change is a compare-and-swap on the revision that was read. When the answer is lost, the key is read
//! back: the operator's own write id there means that the change was accepted; the revision of the first
//! read means that the same compare-and-swap can be sent again; anything else is a conflict.

use compact_str::CompactString;
use derive_more::Display;

use agatemill_config::Envelope;
use agatemill_core::number::Generation;
use agatemill_core::number::Revision;

/// Largest value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Lost answers after which a change ends as uncertain.
pub const MAX_LOST_ANSWERS: u32 = 5;

/// What the platform holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Current {
    /// Revision of the key; 0 when it is absent.
    pub revision: Revision,
    /// The document in force, unless the key is absent.
    pub envelope: Option<Envelope>,
}

/// What an operator wants.
#[derive(Clone, Debug)]
pub struct Request {
    /// The checked document.
    pub text: String,
    /// Who applies it.
    pub author: CompactString,
    /// Unique id of this change.
    pub write: CompactString,
    /// Generation that must be in force before.
    pub expect: Option<Generation>,
    /// Highest generation that the members hold, if a control was asked.
    pub cluster: Generation,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the value if the key still has the revision.
    Swap {
        /// Envelope as JSON.
        value: Vec<u8>,
        /// Revision that the key must have.
        expected: Revision,
    },
    /// Read the key, because it is not known whether the write took effect.
    ReadBack,
    /// Nothing; the change has ended.
    End(End),
}

/// How a change ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum End {
    /// The document was written.
    #[display("generation {_0} is accepted")]
    Accepted(Generation),
    /// The very document is in force already; nothing was written.
    #[display("generation {_0} has this document already; nothing was written")]
    Unchanged(Generation),
    /// Another generation is in force than the operator expected; nothing was written.
    #[display("conflict: generation {found} is in force, expected {expected}; nothing was written")]
    Unexpected {
        /// Generation in force; 0 when there is none.
        found: Generation,
        /// Generation that the operator expected.
        expected: Generation,
    },
    /// Another operator was faster; this document is not in force.
    #[display(
        "conflict: {author} applied generation {generation} meanwhile; this document is not in force"
    )]
    Overtaken {
        /// Generation in force.
        generation: Generation,
        /// Who applied it.
        author: CompactString,
    },
    /// The key was removed meanwhile; this document is not in force.
    #[display("conflict: the configuration was removed meanwhile; this document is not in force")]
    Removed,
    /// The value would be too large; nothing was written.
    #[display(
        "the document takes {bytes} bytes with its envelope, the platform stores at most {MAX_VALUE_BYTES}; nothing was written"
    )]
    TooLarge {
        /// Bytes of the value.
        bytes: usize,
    },
    /// Answers were lost again and again; the write may still take effect.
    #[display(
        "the platform's answers were lost {MAX_LOST_ANSWERS} times; look at `config status` before you repeat the change"
    )]
    Uncertain,
}

/// A change under way.
#[derive(Clone, Debug)]
pub struct Apply {
    envelope: Envelope,
    value: Vec<u8>,
    expected: Revision,
    lost: u32,
}

impl Apply {
    /// Starts a change from what was read. `Err` tells that there is nothing to write.
    ///
    /// # Errors
    ///
    /// The end of the change when it has ended already.
    ///
    /// # Panics
    ///
    /// Never: an envelope always has a JSON form.
    pub fn start(request: Request, current: &Current) -> Result<Self, End> {
        let stored = current.envelope.as_ref();
        let platform = stored.map_or(Generation(0), |envelope| envelope.generation);
        let found = platform.max(request.cluster);
        if let Some(expected) = request.expect.filter(|expected| *expected != found) {
            return Err(End::Unexpected { found, expected });
        }
        // Members with a newer generation do not have the platform's document in force: the platform came
        // back with an older value.
        let newest = platform >= request.cluster;
        if newest && stored.is_some_and(|envelope| envelope.text == request.text) {
            return Err(End::Unchanged(found));
        }
        let generation = found.next();
        let envelope = Envelope::new(generation, request.write, request.author, request.text);
        let value = serde_json::to_vec(&envelope).expect("an envelope has a JSON form");
        if value.len() > MAX_VALUE_BYTES {
            return Err(End::TooLarge { bytes: value.len() });
        }
        Ok(Self {
            envelope,
            value,
            expected: current.revision,
            lost: 0,
        })
    }

    /// Generation that this change gives the document.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.envelope.generation
    }

    /// Whether an earlier write of this change may still take effect.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.lost > 0
    }

    /// The write to send.
    #[must_use]
    pub fn swap(&self) -> Action {
        Action::Swap {
            value: self.value.clone(),
            expected: self.expected,
        }
    }

    /// After the platform answered that the value was written.
    #[must_use]
    pub fn written(&self) -> Action {
        Action::End(End::Accepted(self.generation()))
    }

    /// After the platform's answer was lost, or the read back failed.
    #[must_use]
    pub fn lost(&mut self) -> Action {
        self.lost += 1;
        if self.lost >= MAX_LOST_ANSWERS {
            Action::End(End::Uncertain)
        } else {
            Action::ReadBack
        }
    }

    /// After the key was read back, or the write was refused with what the key holds now.
    #[must_use]
    pub fn found(&self, current: &Current) -> Action {
        match &current.envelope {
            Some(envelope) if envelope.write == self.envelope.write => self.written(),
            // The write has not taken effect, and may be under way still. To send it again is safe,
            // because only one of the two can find this revision.
            _ if current.revision == self.expected => self.swap(),
            Some(envelope) => Action::End(End::Overtaken {
                generation: envelope.generation,
                author: envelope.author.clone(),
            }),
            None => Action::End(End::Removed),
        }
    }
}
