//! The configuration that this control holds: the highest generation seen.

use core::sync::atomic::AtomicU64;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::sync::Mutex;
use std::sync::PoisonError;

use compact_str::CompactString;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::document;
use agatemill_config::Envelope;
use agatemill_config::document::Settings;
use agatemill_core::number::Generation;

/// What became of an offered configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is newer and now held.
    Accepted,
    /// It is the one held.
    Known,
    /// Its generation is lower than the one held.
    Older,
    /// Its generation is the one held, but its text is another.
    Conflicting,
    /// Its document cannot be used.
    Invalid(CompactString),
}

/// The configuration that this control holds.
#[derive(Debug, Default)]
pub struct Configuration {
    state: Mutex<State>,
    /// How often the platform was found to hold a lower generation.
    reverted: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    envelope: Option<Envelope>,
    settings: Settings,
    /// When the platform last held nothing newer than what this control now holds.
    confirmed: Option<Duration>,
    /// Dropped to wake those that wait for the next generation.
    waiters: Vec<Sender<()>>,
}

impl Configuration {
    /// Takes a configuration if it is newer than the one held.
    pub fn offer(&self, envelope: Envelope) -> Outcome {
        let found = self.compare(&envelope);
        if found != Outcome::Accepted {
            return found;
        }
        let document = match document::parse(&envelope.text) {
            Ok(document) => document,
            Err(text) => {
                log::error!(generation:% = envelope.generation, error:% = text;
                    "config: refused a document that cannot be used");
                return Outcome::Invalid(text);
            }
        };
        let mut state = self.lock();
        if state.generation() >= envelope.generation {
            return Outcome::Older;
        }
        log::info!(generation:% = envelope.generation, digest:% = envelope.digest;
            "config: accepted a new generation");
        state.settings = document.settings;
        state.envelope = Some(envelope);
        state.waiters.clear();
        Outcome::Accepted
    }

    /// Whether an envelope is newer than the one held, without a check of its document.
    fn compare(&self, envelope: &Envelope) -> Outcome {
        let state = self.lock();
        let Some(held) = &state.envelope else {
            return Outcome::Accepted;
        };
        if envelope.generation > held.generation {
            return Outcome::Accepted;
        }
        if envelope.generation < held.generation {
            return Outcome::Older;
        }
        if envelope.digest == held.digest {
            return Outcome::Known;
        }
        log::error!(generation:% = held.generation, held:% = held.digest, refused:% = envelope.digest;
            "config: refused another document of the same generation");
        Outcome::Conflicting
    }

    /// The envelope held.
    #[must_use]
    pub fn envelope(&self) -> Option<Envelope> {
        self.lock().envelope.clone()
    }

    /// The generation held; 0 for none.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.lock().generation()
    }

    /// The freshness limit of the document held.
    #[must_use]
    pub fn freshness_limit(&self) -> Duration {
        self.lock().settings.freshness_limit.to_duration()
    }

    /// The envelope held, if its generation is above `known`.
    #[must_use]
    pub fn newer_than(&self, known: Generation) -> Option<Envelope> {
        self.envelope()
            .filter(|envelope| envelope.generation > known)
    }

    /// Waits for at most `wait` until a generation above `known` is held.
    pub async fn follow(&self, known: Generation, wait: Duration) -> Option<Envelope> {
        let next = match self.subscribe(known) {
            Ok(envelope) => return Some(envelope),
            Err(next) => next,
        };
        // The channel closes with the next generation; nothing is ever sent.
        let _ = agatemill_runtime::timeout(wait, next.recv()).await;
        self.newer_than(known)
    }

    fn subscribe(&self, known: Generation) -> Result<Envelope, Receiver<()>> {
        let mut state = self.lock();
        if let Some(envelope) = &state.envelope
            && envelope.generation > known
        {
            return Ok(envelope.clone());
        }
        let (sender, receiver) = smol::channel::bounded(1);
        state.waiters.retain(|waiter| !waiter.is_closed());
        state.waiters.push(sender);
        Err(receiver)
    }

    /// Notes that, at the time `at`, the platform held `generation` as the newest. This confirms what
    /// is held if it is not older.
    pub fn confirm(&self, generation: Generation, at: Duration) {
        let mut state = self.lock();
        if generation <= state.generation() {
            state.confirmed = state.confirmed.max(Some(at));
        }
    }

    /// Time since the last confirmation; `None` for never.
    #[must_use]
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        let confirmed = self.lock().confirmed?;
        Some(now.saturating_sub(confirmed))
    }

    /// Notes that the platform holds a generation lower than the one held here.
    pub fn record_rollback(&self, platform: Generation) {
        self.reverted.fetch_add(1, Ordering::Relaxed);
        log::error!(platform:%, held:% = self.generation();
            "config: the platform holds a lower generation, the newer one is kept");
    }

    /// How often the platform was found to hold a lower generation.
    #[must_use]
    pub fn rollbacks(&self) -> u64 {
        self.reverted.load(Ordering::Relaxed)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn generation(&self) -> Generation {
        self.envelope
            .as_ref()
            .map_or(Generation(0), |envelope| envelope.generation)
    }
}
