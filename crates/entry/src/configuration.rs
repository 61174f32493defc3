//! The configuration in force.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

use crate::authentication::Tokens;
use agatemill_config::Document;
use agatemill_config::Envelope;
use agatemill_core::Digest;
use agatemill_core::number::Generation;

/// A document in force, with what is derived from it.
#[derive(Debug)]
pub struct Configuration {
    /// Generation of the document.
    pub generation: Generation,
    /// Digest of its text.
    pub digest: Digest,
    /// The document.
    pub document: Document,
    /// Organisations by token.
    pub tokens: Tokens,
}

/// The newest configuration that the entry has taken, if any.
#[derive(Debug, Default)]
pub struct Store {
    current: RwLock<Option<Arc<Configuration>>>,
}

/// Why a configuration was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The entry holds a newer one.
    #[display("generation {offered} is below generation {held} in force")]
    Older {
        /// Generation that was offered.
        offered: Generation,
        /// Generation in force.
        held: Generation,
    },
    /// The entry holds another document of the same generation.
    #[display("generation {generation} is in force with another text")]
    Conflicting {
        /// The generation.
        generation: Generation,
    },
    /// The document is faulty.
    #[display("generation {generation} is not a valid document: {faults}")]
    Invalid {
        /// Generation that was offered.
        generation: Generation,
        /// What is wrong with it.
        faults: CompactString,
    },
}

impl Store {
    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Configuration>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Generation in force; 0 for none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.current()
            .map_or_else(Generation::default, |current| current.generation)
    }

    /// Takes over a configuration. `None` when it is the one in force.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when it is older than the one in force, of the same generation with another text, or
    /// does not parse.
    pub fn accept(&self, envelope: &Envelope) -> Result<Option<Arc<Configuration>>, Rejection> {
        let next = parse(envelope)?;
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(held) = current.as_ref() {
            if envelope.generation < held.generation {
                return Err(Rejection::Older {
                    offered: envelope.generation,
                    held: held.generation,
                });
            }
            if envelope.generation == held.generation {
                return same(envelope, held);
            }
        }
        let next = Arc::new(next);
        *current = Some(Arc::clone(&next));
        Ok(Some(next))
    }
}

fn same(
    envelope: &Envelope,
    held: &Configuration,
) -> Result<Option<Arc<Configuration>>, Rejection> {
    if envelope.digest == held.digest {
        return Ok(None);
    }
    Err(Rejection::Conflicting {
        generation: envelope.generation,
    })
}

fn parse(envelope: &Envelope) -> Result<Configuration, Rejection> {
    let document = Document::parse(&envelope.text).map_err(|faults| Rejection::Invalid {
        generation: envelope.generation,
        faults: compact_str::format_compact!("{faults}"),
    })?;
    Ok(Configuration {
        generation: envelope.generation,
        digest: envelope.digest,
        tokens: Tokens::new(&document),
        document,
    })
}
