//! Account of the memory that a process holds for its callers.
//!
//! Addresses the load of callers that send many large bodies at once, most of which stop short of their end: each is legal,
//! and together they exceed the memory of a small host. A share of the account is taken before bytes are read, and is returned
//! when it is dropped.
//!
//! - A part is kept for small bodies, so that ordinary requests are read while large bodies fill the rest.
//! - The last part of the rest is for owners (caller addresses and organisations) that hold less than an equal share of it.
//! - When a body does not fit, the slowest incomplete bodies are ended, the oldest of equally slow ones first, if they are older
//!   than [`MIN_AGE`]. For an owner that holds too much, only its own are.

pub mod denial;
pub mod ledger;
pub mod owner;
pub mod pace;
pub mod plan;

use core::time::Duration;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub use denial::Denial;
pub use ledger::Ledger;
pub use owner::Owner;
pub use pace::Pace;
pub use plan::Plan;

/// Largest body that counts as small, in bytes: several times an ordinary body of about 800 bytes.
pub const SMALL_BYTES: usize = 4 << 10;

/// Age from which an incomplete body may be ended for others. A body of 4 MiB takes 1.7 s on a link of 20 Mbit/s, and most are
/// ordinary ones that arrive with their heads.
pub const MIN_AGE: Duration = Duration::from_secs(1);

/// The account of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct Account {
    ledger: Arc<Mutex<Ledger>>,
}

/// A share of the account. Dropping it returns its bytes, also when its owner panics.
#[derive(Debug)]
pub struct Share {
    account: Account,
    ticket: ledger::Ticket,
}

impl Account {
    /// Creates an account of which nothing is taken.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        Self {
            ledger: Arc::new(Mutex::new(Ledger::new(plan))),
        }
    }

    /// Changes the sizes. Shares that exceed the new ones are kept until they are returned.
    pub fn set_plan(&self, plan: Plan) {
        self.lock().set_plan(plan);
    }

    /// Bytes of bodies that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held()
    }

    /// Takes a share for a body of `bytes` that begins to be read. `on_end` is called once if the body is to be ended for
    /// others before [`Share::complete`]; it must not use the account.
    ///
    /// # Errors
    ///
    /// [`Denial`] when the bytes do not fit.
    pub fn open(
        &self,
        bytes: usize,
        owners: Vec<Owner>,
        now: Duration,
        on_end: impl FnOnce() + Send + 'static,
    ) -> Result<Share, Denial> {
        let ticket = self.lock().open(bytes, owners, now, Box::new(on_end))?;
        Ok(Share {
            account: self.clone(),
            ticket,
        })
    }

    /// The lock protects a ledger that is consistent between all its calls.
    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Share {
    /// Enlarges the share to `bytes` in all.
    ///
    /// # Errors
    ///
    /// [`Denial`] when the bytes do not fit; the share keeps its size.
    pub fn grow(&self, bytes: usize, now: Duration) -> Result<(), Denial> {
        self.account.lock().grow(self.ticket, bytes, now)
    }

    /// Records the bytes that have been read.
    pub fn record(&self, received: usize) {
        self.account.lock().record(self.ticket, received);
    }

    /// Records that the body is complete, after which it is no longer ended for others.
    pub fn complete(&self) {
        self.account.lock().complete(self.ticket);
    }

    /// Whether the body is to be ended for others.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.account.lock().is_ended(self.ticket)
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.account.lock().close(self.ticket);
    }
}
