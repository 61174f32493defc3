//! Performs claims and the background writes that settle them.

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
use crate::Settlement;
use crate::Ticket;
use crate::attempt::Action;
use crate::attempt::deadline_exceeded;
use crate::attempt::platform_unavailable;
use crate::key;
use crate::leases::Leases;
use crate::record::Found;
use crate::record::Owner;
use crate::record::State;
use crate::settlement::Progress;
use agatemill_core::Reason;
use agatemill_core::Refusal;
use agatemill_core::id;
use agatemill_core::number::Revision;
use agatemill_platform::Client;
use agatemill_platform::Entry;
use agatemill_platform::Error;
use agatemill_platform::Swap;

/// Maximum number of concurrent background writes; new claims are refused at this limit. It bounds the memory used
/// during a platform outage. Together with [`MAX_RETRY_DELAY`] it limits the retries after the outage to about 45 per
/// second per host, or 370 for 8 hosts; the platform handles several hundred writes per second.
const MAX_BACKGROUND_WRITES: usize = 1024;

/// Initial and maximum backoff of a background write. Each delay is drawn at random from the upper half of the
/// current backoff.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Interval at which `close` polls for the completion of background writes.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Manages at-most-once records. Clones share all state.
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
    /// The call has already run, with this answer.
    Done(Answer),
}

impl Ledger {
    /// Creates the ledger of the entry on `host`.
    #[must_use]
    pub fn new(client: Client, environment: id::Environment, host: id::Host) -> Self {
        Self {
            client,
            environment,
            host,
            shared: Arc::default(),
        }
    }

    /// Claims a call. The call may be sent only with the ticket of a won claim.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller. If its outcome is `not-run`, the call was not sent for this claim and
    /// never will be.
    pub async fn claim(&self, call: &Call) -> Result<Claim, Refusal> {
        self.validate(call)?;
        let (sender, receiver) = channel::bounded(1);
        let ledger = self.clone();
        let call = call.clone();
        // A caller that disconnects must not cancel a claim after its write. The task continues; if nobody receives
        // the ticket, it is dropped, which records that the call was not run.
        let task = async move {
            let _ = sender.send(ledger.run_claim(&call).await).await;
        };
        agatemill_runtime::spawn(task).detach();
        receiver
            .recv()
            .await
            .unwrap_or_else(|_| Err(platform_unavailable()))
    }

    async fn run_claim(&self, call: &Call) -> Result<Claim, Refusal> {
        let key = key::record(&self.environment, call);
        let mut attempt = Attempt::new(self.new_record(call), call.deadline);
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
                Action::Cancel(refusal, settlement) => {
                    self.settle(key, settlement, call.retention);
                    return Err(refusal);
                }
            };
            action = attempt.next(event, agatemill_runtime::now());
        }
    }

    /// Waits up to `limit` for the background writes to finish. Returns the number of unfinished writes; their records
    /// stay `begun`, so repeats of these calls are refused.
    pub async fn close(self, limit: Duration) -> usize {
        let end = agatemill_runtime::now() + limit;
        while self.background() > 0 && agatemill_runtime::now() < end {
            agatemill_runtime::sleep(CLOSE_POLL_INTERVAL).await;
        }
        self.background()
    }

    /// Number of unfinished background writes.
    #[must_use]
    pub fn background(&self) -> usize {
        self.shared.background.load(Ordering::Acquire)
    }

    /// Starts a background write, which ends once it has taken effect or the retention has passed. The receiver
    /// closes when it ends.
    pub(crate) fn settle(
        &self,
        key: String,
        settlement: Settlement,
        retention: Duration,
    ) -> Receiver<()> {
        self.shared.background.fetch_add(1, Ordering::AcqRel);
        let (sender, receiver) = channel::bounded(1);
        let ledger = self.clone();
        let task = async move {
            ledger.run_settlement(&key, settlement, retention).await;
            ledger.shared.background.fetch_sub(1, Ordering::AcqRel);
            drop(sender);
        };
        agatemill_runtime::spawn(task).detach();
        receiver
    }

    /// Timeout of one call to the key-value service.
    pub(crate) fn timeout(&self) -> Duration {
        self.client.timeout()
    }

    async fn run_settlement(&self, key: &str, mut settlement: Settlement, retention: Duration) {
        let end = agatemill_runtime::now() + retention;
        let mut delay = INITIAL_RETRY_DELAY;
        while agatemill_runtime::now() < end {
            let event = self
                .write(key, settlement.record(), settlement.expected(), retention)
                .await;
            match settlement.next(event) {
                Progress::Finished => return,
                Progress::Retry => {}
                Progress::Backoff => {
                    agatemill_runtime::sleep(delay.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
        log::error!(key; "ledger: record was not settled within its retention");
    }

    fn validate(&self, call: &Call) -> Result<(), Refusal> {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        if key::is_expired(&call.key, call.retention, wall.unwrap_or_default()) {
            let detail = "the idempotency key is older than the retention of call records";
            return Err(Refusal::not_run(Reason::KeyExpired, detail));
        }
        if agatemill_runtime::now() >= call.deadline {
            return Err(deadline_exceeded());
        }
        if self.background() >= MAX_BACKGROUND_WRITES {
            return Err(platform_unavailable());
        }
        Ok(())
    }

    fn new_record(&self, call: &Call) -> Record {
        let left = call.deadline.saturating_sub(agatemill_runtime::now());
        // The standard library seeds its hashers from the operating system. A generator seeded from a clock could
        // produce the same values on another host that starts at the same time.
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
            Ok(Swap::Conflict(entry)) => decode_entry(entry, Event::Conflict),
            Err(Error::LeaseExpired) => {
                leases.forget(lease);
                Event::LeaseExpired
            }
            Err(error) if error.is_uncertain() => Event::Uncertain,
            Err(_) => Event::Refused,
        }
    }

    async fn read(&self, key: &str) -> Event {
        match self.client.get(key).await {
            Ok(entry) => decode_entry(entry, Event::Read),
            Err(_) => Event::ReadFailed,
        }
    }
}

fn decode_entry(entry: Option<Entry>, event: impl FnOnce(Option<Found>) -> Event) -> Event {
    let Some(entry) = entry else {
        return event(None);
    };
    match serde_json::from_slice(&entry.value) {
        Ok(record) => event(Some(Found {
            record,
            revision: entry.revision,
        })),
        Err(error) => {
            log::error!(key = entry.key, error:%; "ledger: record cannot be decoded");
            Event::Unreadable
        }
    }
}
