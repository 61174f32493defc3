//! Why a request ended.

use derive_more::Display;

/// Why a request ended, as seen by the entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The complete response was delivered.
    #[display("finished")]
    Finished,
    /// The entry refused the request by one of its own rules.
    #[display("refused")]
    Refused,
    /// The backend server replied that it did not execute the request.
    #[display("rejected")]
    Rejected,
    /// The connection to the backend server could not be opened.
    #[display("connect failed")]
    ConnectFailed,
    /// The connection to the backend server was lost.
    #[display("connection lost")]
    ConnectionLost,
    /// The deadline passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The caller disconnected.
    #[display("caller left")]
    CallerLeft,
}

impl Cause {
    /// Every cause.
    pub const ALL: [Self; 7] = [
        Self::Finished,
        Self::Refused,
        Self::Rejected,
        Self::ConnectFailed,
        Self::ConnectionLost,
        Self::DeadlinePassed,
        Self::CallerLeft,
    ];
}
