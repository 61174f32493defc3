//! The active configuration.

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

/// A configuration document with the data derived from it.
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

/// Stores the newest configuration that the entry has accepted, if any.
#[derive(Debug, Default)]
pub struct Store {
    current: RwLock<Option<Arc<Configuration>>>,
}

/// Reason why a configuration is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The active configuration is newer.
    #[display("generation {offered} is older than the active generation {active}")]
    Older {
        /// Offered generation.
        offered: Generation,
        /// Active generation.
        active: Generation,
    },
    /// The active configuration has the same generation but a different document.
    #[display("generation {generation} is already active with a different document")]
    Conflicting {
        /// The generation.
        generation: Generation,
    },
    /// The document is not valid.
    #[display("generation {generation} is not a valid document: {faults}")]
    Invalid {
        /// Offered generation.
        generation: Generation,
        /// Faults found in the document.
        faults: CompactString,
    },
}

impl Store {
    /// Active configuration.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Configuration>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Active generation; 0 without a configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.current()
            .map_or_else(Generation::default, |current| current.generation)
    }

    /// Makes a configuration the active one. Returns `None` if it is active already.
    ///
    /// # Errors
    ///
    /// [`Rejection`] when the configuration is older than the active one, has the same generation but a
    /// different document, or is not valid.
    pub fn accept(&self, envelope: &Envelope) -> Result<Option<Arc<Configuration>>, Rejection> {
        let next = parse(envelope)?;
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(active) = current.as_ref() {
            if envelope.generation < active.generation {
                return Err(Rejection::Older {
                    offered: envelope.generation,
                    active: active.generation,
                });
            }
            if envelope.generation == active.generation {
                return check_unchanged(envelope, active);
            }
        }
        let next = Arc::new(next);
        *current = Some(Arc::clone(&next));
        Ok(Some(next))
    }
}

fn check_unchanged(
    envelope: &Envelope,
    active: &Configuration,
) -> Result<Option<Arc<Configuration>>, Rejection> {
    if envelope.digest == active.digest {
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
