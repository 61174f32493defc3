//! Carries out claims.

use core::sync::atomic::AtomicUsize;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::sync::Arc;
use std::time::SystemTime;

use compact_str::format_compact;
use smol::channel;
use smol::channel::Receiver;

use crate::Answer;
use crate::Attempt;
use crate::Call;
use crate::Event;
use crate::Record;
use crate::Settle;
use crate::Ticket;
use crate::attempt::Action;
use crate::attempt::late;
use crate::attempt::unavailable;
use crate::key;
use crate::leases::Leases;
use crate::record::Found;
use crate::record::Owner;
use crate::record::State;
use crate::settle::Progress;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_core::number::Revision;
use agatemill_platform::Client;
use agatemill_platform::Entry;
use agatemill_platform::Error;
use agatemill_platform::Swap;

/// Most background writes at once; new claims are refused above it. Together with the longest pause it
/// bounds the memory that an outage of the platform costs, and the retries after it to about 45 a
/// second for each host, or 370 for 8 hosts, of the several hundred writes that the platform takes.
const MAX_BACKGROUND: usize = 1024;

/// First and longest pause between tries of a background write; each is drawn from half of it upwards.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// How often `close` looks whether the background writes are finished.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// Keeps at-most-once records. Clones share everything.
#[derive(Clone, Debug)]
pub struct Ledger {
    client: Client,
    environment: id::Environment,
    host: id::Host,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    leases: Leases,
    background: AtomicUsize,
}

/// Result of a claim that was not refused.
#[derive(Debug)]
pub enum Claim {
    /// The caller of [`Ledger::claim`] may send the call.
    Won(Box<Ticket>),
    /// The call ran before, with this answer.
    Done(Answer),
}

impl Ledger {
    /// Creates a ledger of the entry host `host`.
    #[must_use]
    pub fn new(client: Client, environment: id::Environment, host: id::Host) -> Self {
        Self {
            client,
            environment,
            host,
            shared: Arc::default(),
        }
    }

    /// Claims a call. It must be sent only with the ticket of a won claim.
    ///
    /// # Errors
    ///
    /// The refusal for the caller. When its outcome is `not-run`, the call was not sent for this claim
    /// and never will be.
    pub async fn claim(&self, call: &Call) -> Result<Claim, Refusal> {
        self.admit(call)?;
        let (sender, receiver) = channel::bounded(1);
        let ledger = self.clone();
        let call = call.clone();
        // A caller that leaves must not cut off a claim between its write and its end: the ticket that
        // nobody receives is dropped, which records that the call was not run.
        let task = async move {
            let _ = sender.send(ledger.decide(&call).await).await;
        };
        agatemill_runtime::spawn(task).detach();
        receiver.recv().await.unwrap_or_else(|_| Err(unavailable()))
    }

    async fn decide(&self, call: &Call) -> Result<Claim, Refusal> {
        let key = key::record(&self.environment, call);
        let mut attempt = Attempt::new(self.begun(call), call.deadline);
        let mut action = attempt.start(agatemill_runtime::now());
        loop {
            let event = match action {
                Action::Write(expected) => {
                    self.write(&key, attempt.record(), expected, call.retention)
                        .await
                }
                Action::Read => self.read(&key).await,
                Action::Win(revision) => {
                    let record = attempt.record().clone();
                    let ticket = Ticket::new(self.clone(), key, record, revision, call);
                    return Ok(Claim::Won(Box::new(ticket)));
                }
                Action::Repeat(answer) => return Ok(Claim::Done(answer)),
                Action::Refuse(refusal) => return Err(refusal),
                Action::Cancel(refusal, settle) => {
                    self.settle(key, settle, call.retention);
                    return Err(refusal);
                }
            };
            action = attempt.next(event, agatemill_runtime::now());
        }
    }

    /// Waits until the background writes are finished, for at most `limit`. Gives the number of those
    /// that are not; their records stay `begun`, so repeats of these calls are refused.
    pub async fn close(self, limit: Duration) -> usize {
        let end = agatemill_runtime::now() + limit;
        while self.background() > 0 && agatemill_runtime::now() < end {
            agatemill_runtime::sleep(CLOSE_POLL).await;
        }
        self.background()
    }

    /// Number of background writes that are not finished.
    #[must_use]
    pub fn background(&self) -> usize {
        self.shared.background.load(Ordering::Acquire)
    }

    /// Starts a background write, which ends when it took effect or the retention has passed. The
    /// receiver closes at its end.
    pub(crate) fn settle(&self, key: String, settle: Settle, retention: Duration) -> Receiver<()> {
        self.shared.background.fetch_add(1, Ordering::AcqRel);
        let (sender, receiver) = channel::bounded(1);
        let ledger = self.clone();
        let task = async move {
            ledger.run(&key, settle, retention).await;
            ledger.shared.background.fetch_sub(1, Ordering::AcqRel);
            drop(sender);
        };
        agatemill_runtime::spawn(task).detach();
        receiver
    }

    /// Longest wait for one call of the key-value service.
    pub(crate) fn timeout(&self) -> Duration {
        self.client.timeout()
    }

    async fn run(&self, key: &str, mut settle: Settle, retention: Duration) {
        let end = agatemill_runtime::now() + retention;
        let mut pause = FIRST_PAUSE;
        while agatemill_runtime::now() < end {
            let event = self
                .write(key, settle.record(), settle.expected(), retention)
                .await;
            match settle.next(event) {
                Progress::Finished => return,
                Progress::Again => {}
                Progress::Pause => {
                    agatemill_runtime::sleep(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
        log::error!(key; "ledger: record not settled before its retention ended");
    }

    fn admit(&self, call: &Call) -> Result<(), Refusal> {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        if key::is_expired(&call.key, call.retention, wall.unwrap_or_default()) {
            let detail = "the idempotency key is older than the retention of call records";
            return Err(Refusal::not_run(Reason::KeyExpired, detail));
        }
        if agatemill_runtime::now() >= call.deadline {
            return Err(late());
        }
        if self.background() >= MAX_BACKGROUND {
            return Err(unavailable());
        }
        Ok(())
    }

    fn begun(&self, call: &Call) -> Record {
        let left = call.deadline.saturating_sub(agatemill_runtime::now());
        // The standard library seeds its hashers from the operating system. A generator that is seeded
        // from a clock could repeat on another host that starts at the same time.
        let random = || RandomState::new().hash_one(agatemill_runtime::now());
        Record {
            owner: Owner {
                host: self.host.clone(),
                claim: format_compact!("{:016x}{:016x}", random(), random()),
            },
            body: call.body,
            time_left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            state: State::Begun,
        }
    }

    async fn write(
        &self,
        key: &str,
        record: &Record,
        expected: Revision,
        retention: Duration,
    ) -> Event {
        let now = agatemill_runtime::now();
        let leases = &self.shared.leases;
        let Ok(lease) = leases.get(&self.client, retention, now).await else {
            return Event::Refused;
        };
        let value = record.encode();
        let swap = self.client.swap(key, &value, expected, Some(lease));
        match swap.await {
            Ok(Swap::Done(revision)) => Event::Written(revision),
            Ok(Swap::Conflict(entry)) => found(entry, Event::Conflict),
            Err(Error::LeaseLapsed) => {
                leases.forget(lease);
                Event::LeaseLapsed
            }
            Err(error) if error.is_uncertain() => Event::Uncertain,
            Err(_) => Event::Refused,
        }
    }

    async fn read(&self, key: &str) -> Event {
        match self.client.get(key).await {
            Ok(entry) => found(entry, Event::Read),
            Err(_) => Event::ReadFailed,
        }
    }
}

fn found(entry: Option<Entry>, event: impl FnOnce(Option<Found>) -> Event) -> Event {
    let Some(entry) = entry else {
        return event(None);
    };
    match serde_json::from_slice(&entry.value) {
        Ok(record) => event(Some(Found {
            record,
            revision: entry.revision,
        })),
        Err(error) => {
            log::error!(key = entry.key, error:%; "ledger: record unreadable");
            Event::Unreadable
        }
    }
}
