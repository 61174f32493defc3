//! Bytes that a server sent in place of a response.

use core::fmt;

use hyper::StatusCode;

/// Why what a server sent is no response in the protocol. The request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// The status of a complete head is no final one (200 to 599).
    Status(u16),
    /// The status line or the fields cannot be read.
    Head(String),
    /// Interim responses (1xx) without a final one: so many that none is expected, or the connection ended.
    Interim(u32),
}

impl Invalid {
    /// The stable text form of the reason, for metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Status(_) => "invalid_status",
            Self::Head(_) => "invalid_head",
            Self::Interim(_) => "no_final_response",
        }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status:03} is not final"),
            Self::Head(error) => write!(f, "the head cannot be read: {error}"),
            Self::Interim(count) => write!(f, "{count} interim responses without a final one"),
        }
    }
}

/// Whether a status ends an exchange in the protocol: 1xx announce another response, and others are not defined.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}
