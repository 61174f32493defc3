//! Reads the bodies of requests within an account of memory.

pub mod cost;
pub mod held;

use core::time::Duration;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use event_listener::Event;
use http_body_util::BodyExt;
use hyper::body::Body as _;

use crate::Body;
use agatemill_limits::Account;
use agatemill_limits::account::Denial;
use agatemill_limits::account::Owner;
use agatemill_limits::account::Pace;
use agatemill_limits::account::SMALL_BYTES;
use agatemill_limits::account::Share;
use agatemill_limits::account::denial::Reason;
use agatemill_limits::account::pace;

pub use cost::Cost;
pub use held::Held;

/// Time for which reading pauses while bodies that are ended for a request return their bytes: they do so when their tasks run.
const ROOM_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a paused request asks again.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes after which the progress of a body is recorded. Without this, the records of a chunk of one byte cost more than its
/// decoding.
const RECORD_BYTES: usize = 4 << 10;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Failure {
    /// The body is over the limit. Nothing was read if its length was stated.
    #[display("the body is over the limit")]
    TooLarge,
    /// The connection broke, or the body is not valid.
    #[display("the body broke off")]
    Broken,
    /// The body does not fit into the account.
    #[display("the bodies of other requests take the memory")]
    Denied(#[error(not(source))] Denial),
    /// The body was ended because another one needs its memory.
    #[display("the body arrives slowly and its memory is needed")]
    Ended {
        /// Bytes that had been read.
        received: usize,
    },
    /// The body does not arrive at the smallest rate.
    #[display("the body arrives too slowly")]
    TooSlow {
        /// Bytes that had been read.
        received: usize,
    },
}

impl Failure {
    /// Name of a failure that the account decided, for metrics.
    #[must_use]
    pub fn event(&self) -> Option<&'static str> {
        match self {
            Self::TooLarge | Self::Broken => None,
            Self::Denied(denial) => Some(match denial.reason {
                Reason::Full => "refused_full",
                Reason::Owner => "refused_owner",
            }),
            Self::Ended { .. } => Some("ended"),
            Self::TooSlow { .. } => Some("too_slow"),
        }
    }
}

/// A body that is being read.
struct Reading {
    share: Share,
    /// Notified when the body is to be ended.
    end: Arc<Event>,
    bytes: Vec<u8>,
    /// Largest legal size.
    limit: usize,
    cost: Cost,
}

/// Reads a complete body of at most `limit` bytes. What its request takes by `cost` counts in the account until the body is
/// dropped.
///
/// # Errors
///
/// [`Failure`].
pub async fn read(
    account: &Account,
    body: &mut Body,
    limit: usize,
    cost: Cost,
    owners: Vec<Owner>,
) -> Result<Held, Failure> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|bytes| bytes > limit as u64) {
        return Err(Failure::TooLarge);
    }
    let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(limit));
    if stated == Some(0) && cost.bytes(0) == 0 {
        return Ok(Held {
            bytes: Vec::new(),
            share: None,
        });
    }
    let bytes = stated.unwrap_or(SMALL_BYTES.min(limit));
    let end = Arc::new(Event::new());
    let open = || {
        let end = Arc::clone(&end);
        let on_end = move || {
            end.notify(usize::MAX);
        };
        let now = agatemill_runtime::now();
        account.open(cost.bytes(bytes), owners.clone(), now, on_end)
    };
    let share = wait_for_room(open).await?;
    let reading = Reading {
        share,
        end,
        bytes: Vec::with_capacity(bytes),
        limit,
        cost,
    };
    reading.run(body).await
}

/// Takes bytes, and asks again while other bodies are being ended for them.
async fn wait_for_room<T>(take: impl Fn() -> Result<T, Denial>) -> Result<T, Failure> {
    let mut waited = Duration::ZERO;
    loop {
        match take() {
            Ok(taken) => return Ok(taken),
            Err(denial) if denial.is_making_room && waited < ROOM_TIMEOUT => {
                agatemill_runtime::sleep(ROOM_INTERVAL).await;
                waited += ROOM_INTERVAL;
            }
            Err(denial) => return Err(Failure::Denied(denial)),
        }
    }
}

/// What reading a part of a body has come to.
enum Part {
    /// Bytes were read.
    Read,
    /// These bytes need a larger share.
    Overflow(Bytes),
    /// The body is complete.
    End,
}

impl Reading {
    async fn run(mut self, body: &mut Body) -> Result<Held, Failure> {
        let mut pace = Pace::default();
        loop {
            let asked = agatemill_runtime::now();
            let before = self.bytes.len();
            let read = self.read_part(body);
            let part = agatemill_runtime::timeout(pace::MAX_WAIT, read).await;
            let part = part.unwrap_or(Ok(Part::Read))?;
            let waited = agatemill_runtime::now().saturating_sub(asked);
            if let Part::Overflow(data) = &part {
                self.extend(data).await?;
            }
            let received = self.bytes.len();
            self.share.record(received);
            if matches!(part, Part::End) {
                break;
            }
            pace.record(waited, received - before);
            if pace.is_too_slow() {
                return Err(Failure::TooSlow { received });
            }
        }
        self.share.complete();
        Ok(Held {
            bytes: self.bytes,
            share: Some(self.share),
        })
    }

    /// Reads [`RECORD_BYTES`] or more of a body into the share, or what is left. Bytes are kept when the wait is given up.
    async fn read_part(&mut self, body: &mut Body) -> Result<Part, Failure> {
        let (bytes, share, end) = (&mut self.bytes, &self.share, &self.end);
        let capacity = bytes.capacity().min(self.limit);
        let received = bytes.len();
        let read = async {
            while bytes.len() - received < RECORD_BYTES {
                let Some(frame) = body.frame().await else {
                    return Ok(Part::End);
                };
                let frame = frame.map_err(|_| Failure::Broken)?;
                let data = frame.into_data().unwrap_or_default();
                if bytes.len() + data.len() > capacity {
                    return Ok(Part::Overflow(data));
                }
                bytes.extend_from_slice(&data);
            }
            Ok(Part::Read)
        };
        let end = async {
            loop {
                let end = end.listen();
                if share.is_ended() {
                    return Err(Failure::Ended { received });
                }
                end.await;
            }
        };
        smol::future::or(read, end).await
    }

    /// Appends bytes, for which the share grows.
    async fn extend(&mut self, data: &[u8]) -> Result<(), Failure> {
        let length = self.bytes.len() + data.len();
        if length > self.limit {
            return Err(Failure::TooLarge);
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            let capacity = length.max(capacity * 2).min(self.limit);
            let share = self.cost.bytes(capacity);
            let grow = || self.share.grow(share, agatemill_runtime::now());
            wait_for_room(grow).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}
