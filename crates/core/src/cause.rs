//! Why a request ended.

use derive_more::Display;

/// Why the work on a request ended, as seen by the entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The answer was delivered whole.
    #[display("finished")]
    Finished,
    /// The entry refused the request by a rule of its own.
    #[display("refused")]
    Refused,
    /// The backend server answered that it did not run the request.
    #[display("rejected")]
    Rejected,
    /// The connection to the backend server could not be opened.
    #[display("connect failed")]
    ConnectFailed,
    /// The connection to the backend server broke.
    #[display("connection lost")]
    ConnectionLost,
    /// The deadline passed.
    #[display("deadline passed")]
    DeadlinePassed,
    /// The caller went away.
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
