//! Settings of the process.

use core::net::SocketAddr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

use agatemill_core::id;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;
use agatemill_routing::policy;

/// Smallest head buffer that the HTTP library takes.
const MIN_HEADERS: Size = Size(8 << 10);

/// Settings of an entry process; keys that are not known are refused.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: id::Host,
    /// Zone of this host.
    pub zone: id::Zone,
    /// Environment that it serves.
    pub environment: id::Environment,
    /// Where to listen for callers; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Address that callers are told to use; the bound address when it is left out.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Where the control process of this host listens. Without it the document is given to the library.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Addresses of the platform's key-value service. Without them non-idempotent calls are refused.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Threads that run requests.
    #[serde(default = "threads")]
    pub threads: usize,
    /// How chains of engines are chosen.
    #[serde(default = "routing")]
    pub routing: policy::Name,
    /// How long a graceful shutdown may take in all.
    #[serde(default = "drain_limit")]
    pub drain_limit: Time,
    /// Limits on requests.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits on requests, `[limits]`. Every key may be left out.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body: Size,
    /// Largest request head.
    pub headers: Size,
    /// How long the head of a request may take to arrive.
    pub header_time: Time,
    /// How long the body of a request may take to arrive.
    pub body_time: Time,
    /// How long a caller may read nothing of an answer that waits for it.
    pub stall_time: Time,
    /// Requests of each half in progress at once.
    pub slots: u32,
    /// Requests of each half that wait for a slot.
    pub waiters: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Size(1 << 20),
            headers: Size(16 << 10),
            header_time: Time::from_millis(5_000),
            body_time: Time::from_millis(20_000),
            stall_time: Time::from_millis(30_000),
            slots: 512,
            waiters: 2_048,
        }
    }
}

/// Settings that make no sense.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{key}: found {found}, expected {expected}")]
pub struct Error {
    /// Key of the setting.
    pub key: &'static str,
    /// Its value.
    pub found: CompactString,
    /// What is expected.
    pub expected: &'static str,
}

impl Settings {
    /// Checks what the types do not.
    ///
    /// # Errors
    ///
    /// [`Error`] with the first setting that makes no sense.
    pub fn check(&self) -> Result<(), Error> {
        at_least_one("threads", self.threads as u64)?;
        at_least_one("drain_limit", self.drain_limit.as_millis())?;
        at_least_one("limits.body", self.limits.body.0)?;
        at_least_one("limits.header_time", self.limits.header_time.as_millis())?;
        at_least_one("limits.body_time", self.limits.body_time.as_millis())?;
        at_least_one("limits.stall_time", self.limits.stall_time.as_millis())?;
        at_least_one("limits.slots", u64::from(self.limits.slots))?;
        if self.limits.headers < MIN_HEADERS {
            return Err(Error {
                key: "limits.headers",
                found: compact_str::format_compact!("{}", self.limits.headers),
                expected: "at least 8KiB",
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

fn at_least_one(key: &'static str, value: u64) -> Result<(), Error> {
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
