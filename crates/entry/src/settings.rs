//! Settings of the entry process.

use core::net::SocketAddr;
use core::ops::RangeInclusive;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

use crate::chat;
use agatemill_core::id;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;
use agatemill_http::intake::Cost;
use agatemill_limits::account::Plan;
use agatemill_limits::account::plan;
use agatemill_routing::policy;

/// Smallest head buffer that the HTTP library supports.
const MIN_HEAD_SIZE: Size = Size(8 << 10);

/// Range of [`Limits::memory`].
const MEMORY_RANGE: RangeInclusive<Size> = Size(64_000_000)..=Size(1 << 40);

/// Settings of an entry process; unknown keys are refused.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: id::Host,
    /// Zone of this host.
    pub zone: id::Zone,
    /// Environment that the entry serves.
    pub environment: id::Environment,
    /// Address to listen on for callers; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Address advertised to callers; the bound address if it is left out.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address of the control process of this host. Without it, configurations come only from
    /// [`Handle::accept`](crate::Handle::accept).
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Addresses of the platform's key-value service. Without them non-idempotent calls are refused.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Number of threads that run requests.
    #[serde(default = "threads")]
    pub threads: usize,
    /// Policy that selects chains of engines.
    #[serde(default = "routing")]
    pub routing: policy::Name,
    /// Time limit of a graceful shutdown as a whole.
    #[serde(default = "drain_limit")]
    pub drain_limit: Time,
    /// Limits on requests.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits on requests, `[limits]`. Every key is optional.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body: Size,
    /// Memory of the machine or container, of which the bodies of requests take a part.
    pub memory: Size,
    /// Largest request head.
    pub headers: Size,
    /// How long the head of a request may take to arrive.
    pub header_time: Time,
    /// How long the body of a request may take to arrive.
    pub body_time: Time,
    /// How long a caller may read nothing of a pending response.
    pub stall_time: Time,
    /// Maximum number of requests of each half in progress.
    pub slots: u32,
    /// Maximum number of requests of each half that wait for a slot.
    pub waiters: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Size(1 << 20),
            memory: plan::SMALLEST_MEMORY,
            headers: Size(16 << 10),
            header_time: Time::from_millis(5_000),
            body_time: Time::from_millis(20_000),
            stall_time: Time::from_millis(30_000),
            slots: 512,
            waiters: 2_048,
        }
    }
}

/// Error for an invalid setting.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{key}: found {found}, expected {expected}")]
pub struct Error {
    /// Key of the setting.
    pub key: &'static str,
    /// Its value.
    pub found: CompactString,
    /// Expected values.
    pub expected: &'static str,
}

impl Settings {
    /// Checks the constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// [`struct@Error`] with the first invalid setting.
    pub fn check(&self) -> Result<(), Error> {
        check_positive("threads", self.threads as u64)?;
        check_positive("drain_limit", self.drain_limit.as_millis())?;
        check_positive("limits.body", self.limits.body.0)?;
        check_positive("limits.header_time", self.limits.header_time.as_millis())?;
        check_positive("limits.body_time", self.limits.body_time.as_millis())?;
        check_positive("limits.stall_time", self.limits.stall_time.as_millis())?;
        check_positive("limits.slots", u64::from(self.limits.slots))?;
        if self.limits.headers < MIN_HEAD_SIZE {
            return Err(Error {
                key: "limits.headers",
                found: compact_str::format_compact!("{}", self.limits.headers),
                expected: "at least 8KiB",
            });
        }
        if !MEMORY_RANGE.contains(&self.limits.memory) {
            return Err(Error {
                key: "limits.memory",
                found: compact_str::format_compact!("{}", self.limits.memory),
                expected: "64MB to 1024GiB",
            });
        }
        let largest = Cost::of_head(self.limits.headers.to_usize())
            .with_copies(chat::BODY_COPIES)
            .bytes(self.limits.body.to_usize());
        if largest > Plan::from(self.limits.memory).large {
            return Err(Error {
                key: "limits.body",
                found: compact_str::format_compact!("{}", self.limits.body),
                expected: "at most a fifteenth of limits.memory, so that the largest request fits",
            });
        }
        if self.advertise.is_none() && self.listen.ip().is_unspecified() {
            return Err(Error {
                key: "advertise",
                found: CompactString::const_new("nothing"),
                expected: "an address, because listen names all interfaces",
            });
        }
        Ok(())
    }
}

fn check_positive(key: &'static str, value: u64) -> Result<(), Error> {
    if value > 0 {
        return Ok(());
    }
    Err(Error {
        key,
        found: CompactString::const_new("0"),
        expected: "a value above 0",
    })
}

fn threads() -> usize {
    4
}

fn routing() -> policy::Name {
    policy::Name::Outstanding
}

fn drain_limit() -> Time {
    Time::from_millis(600_000)
}
