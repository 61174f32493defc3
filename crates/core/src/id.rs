//! Identifiers of the entities that a document or a request refers to.
//!
//! Every id is 1 to 64 characters of `a-z`, `A-Z`, `0-9`, `.`, `_` and `-`, and starts with a letter or
//! a digit, so that it needs no escaping in a URL path, a log line or a platform key.

use core::fmt;
use core::str::FromStr;

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Maximum length of an id, in bytes.
pub const MAX_LEN: usize = 64;

/// Why a text is not a valid id.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Invalid {
    /// The text has no characters.
    #[display("an id must have at least one character")]
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    #[display("an id has at most {MAX_LEN} characters, found {len}")]
    TooLong {
        /// Length of the text in bytes.
        len: usize,
    },
    /// The text contains a character outside the allowed set.
    #[display(
        "an id has only letters, digits, '.', '_' and '-' and starts with a letter or digit, found {found:?}"
    )]
    Character {
        /// The first character that is not allowed.
        found: char,
    },
}

fn check(text: &str) -> Result<(), Invalid> {
    let first = text.chars().next().ok_or(Invalid::Empty)?;
    if text.len() > MAX_LEN {
        return Err(Invalid::TooLong { len: text.len() });
    }
    if !first.is_ascii_alphanumeric() {
        return Err(Invalid::Character { found: first });
    }
    let is_disallowed = |c: &char| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
    match text.chars().find(is_disallowed) {
        Some(found) => Err(Invalid::Character { found }),
        None => Ok(()),
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)+) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// The id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                check(text)?;
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = Invalid;

            fn try_from(text: CompactString) -> Result<Self, Invalid> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    )+};
}

ids! {
    /// A kind of accelerator.
    Accelerator;
    /// A backend server, whether it runs a model engine or a plain service.
    Server;
    /// An environment, such as trial or production.
    Environment;
    /// One of the parts into which the company is split.
    Half;
    /// A host that runs an entry and a control process.
    Host;
    /// A model.
    Model;
    /// A customer whose callers use the system.
    Organisation;
    /// A region, which contains availability zones.
    Region;
    /// One request of a caller.
    Request;
    /// A plain application service.
    Service;
    /// The state of one generation attempt on an engine.
    Session;
    /// A version of a model.
    Version;
    /// An availability zone.
    Zone;
}
