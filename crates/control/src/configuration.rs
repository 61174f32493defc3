//! Configuration of the highest generation that this control has received.

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

/// Result of offering a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The offered configuration is newer and has replaced the current one.
    Accepted,
    /// The offered configuration is the current one.
    Known,
    /// The offered generation is lower than the current one.
    Older,
    /// The generation is the current one, but the document differs.
    Conflicting,
    /// The document cannot be parsed or is not valid.
    Invalid(CompactString),
}

/// Configuration of the highest generation that this control has received.
#[derive(Debug, Default)]
pub struct Configuration {
    state: Mutex<State>,
    /// Number of times that the platform was found with a lower generation.
    rollbacks: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    envelope: Option<Envelope>,
    settings: Settings,
    /// Last time at which the platform had no newer generation than the current one.
    confirmed: Option<Duration>,
    /// Senders that are dropped to wake the tasks that wait for the next generation.
    waiters: Vec<Sender<()>>,
}

impl Configuration {
    /// Replaces the current configuration if the offered one is newer and valid.
    pub fn offer(&self, envelope: Envelope) -> Outcome {
        let outcome = self.classify(&envelope);
        if outcome != Outcome::Accepted {
            return outcome;
        }
        let document = match document::parse(&envelope.text) {
            Ok(document) => document,
            Err(text) => {
                log::error!(generation:% = envelope.generation, error:% = text;
                    "config: rejected an invalid document");
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

    /// Compares the generation and digest of an envelope with the current ones; does not parse its document.
    fn classify(&self, envelope: &Envelope) -> Outcome {
        let state = self.lock();
        let Some(current) = &state.envelope else {
            return Outcome::Accepted;
        };
        if envelope.generation > current.generation {
            return Outcome::Accepted;
        }
        if envelope.generation < current.generation {
            return Outcome::Older;
        }
        if envelope.digest == current.digest {
            return Outcome::Known;
        }
        log::error!(generation:% = current.generation, held:% = current.digest, refused:% = envelope.digest;
            "config: rejected a different document with the same generation");
        Outcome::Conflicting
    }

    /// Current envelope.
    #[must_use]
    pub fn envelope(&self) -> Option<Envelope> {
        self.lock().envelope.clone()
    }

    /// Current generation; 0 without a configuration.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.lock().generation()
    }

    /// Freshness limit in the current document.
    #[must_use]
    pub fn freshness_limit(&self) -> Duration {
        self.lock().settings.freshness_limit.to_duration()
    }

    /// Current envelope if its generation is above `known`.
    #[must_use]
    pub fn newer_than(&self, known: Generation) -> Option<Envelope> {
        self.envelope()
            .filter(|envelope| envelope.generation > known)
    }

    /// Returns the envelope of a generation above `known`; waits for it for at most `wait`.
    pub async fn follow(&self, known: Generation, wait: Duration) -> Option<Envelope> {
        let next = match self.subscribe(known) {
            Ok(envelope) => return Some(envelope),
            Err(next) => next,
        };
        // The next generation closes the channel; no value is sent.
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

    /// Records that `generation` was the newest at the platform at time `at`. This confirms the current
    /// generation unless `generation` is higher.
    pub fn confirm(&self, generation: Generation, at: Duration) {
        let mut state = self.lock();
        if generation <= state.generation() {
            state.confirmed = state.confirmed.max(Some(at));
        }
    }

    /// Time since the last confirmation; `None` if there was none.
    #[must_use]
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        let confirmed = self.lock().confirmed?;
        Some(now.saturating_sub(confirmed))
    }

    /// Counts and logs that the platform has a generation lower than the current one.
    pub fn record_rollback(&self, platform: Generation) {
        self.rollbacks.fetch_add(1, Ordering::Relaxed);
        log::error!(platform:%, held:% = self.generation();
            "config: the platform has a lower generation, keeping the newer one");
    }

    /// Number of times that the platform was found with a lower generation.
    #[must_use]
    pub fn rollbacks(&self) -> u64 {
        self.rollbacks.load(Ordering::Relaxed)
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
