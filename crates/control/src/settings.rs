//! Settings of a control process.

use core::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use agatemill_config::settings;
use agatemill_core::id;

pub mod timings;

pub use timings::Timings;

/// Settings of a control process, in TOML. Unknown keys are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host; unique within the environment.
    pub host: id::Host,
    /// Zone of this host.
    pub zone: id::Zone,
    /// Environment that this process serves.
    pub environment: id::Environment,
    /// TCP address for the entry, other controls and operators; port 0 takes a free one.
    pub listen: SocketAddr,
    /// UDP address for gossip; port 0 takes a free one.
    pub gossip: SocketAddr,
    /// Address that others use instead of `listen`.
    #[serde(default)]
    pub advertise_control: Option<SocketAddr>,
    /// Address that others use instead of `gossip`.
    #[serde(default)]
    pub advertise_gossip: Option<SocketAddr>,
    /// Addresses of the platform's key-value service; if empty, the process runs without the platform.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Control addresses of some other hosts.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Number of threads that run tasks; at least 1.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Timings.
    #[serde(default)]
    pub timings: Timings,
}

/// Reason why settings are not valid.
#[derive(Debug, Display, Error)]
pub enum Invalid {
    /// The file cannot be read, is not TOML, has an unknown key or a value of the wrong form.
    #[display("{_0}")]
    File(settings::Error),
    /// A value is outside its range.
    #[display("{key}: {expected}")]
    Value {
        /// Key of the value.
        key: CompactString,
        /// Description of a valid value.
        expected: CompactString,
    },
}

fn default_threads() -> usize {
    2
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`Invalid`] when the file cannot be read or used.
    pub fn load(path: &Path) -> Result<Self, Invalid> {
        let settings: Self = settings::load(path).map_err(Invalid::File)?;
        settings.check()?;
        Ok(settings)
    }

    /// Parses and checks settings from text.
    ///
    /// # Errors
    ///
    /// [`Invalid`] when they cannot be used.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let settings: Self = settings::parse(Path::new("settings"), text).map_err(Invalid::File)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// [`Invalid::Value`] for the first value outside its range.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.threads == 0 {
            return Err(expected("threads", "at least 1 thread"));
        }
        let addresses = [
            ("listen", self.listen, self.advertise_control),
            ("gossip", self.gossip, self.advertise_gossip),
        ];
        for (key, address, advertised) in addresses {
            if address.ip().is_unspecified() && advertised.is_none() {
                let text = "an address that others can reach, or an advertise address beside it";
                return Err(expected(key, text));
            }
        }
        self.timings.check()
    }
}

pub(crate) fn expected(key: &str, text: &str) -> Invalid {
    Invalid::Value {
        key: key.into(),
        expected: text.into(),
    }
}
