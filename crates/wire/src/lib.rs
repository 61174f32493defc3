//! Messages and services between the processes of agatemill.
//!
//! Requests and replies use [`tarpc`] over TCP with MessagePack; gossip uses UDP datagrams encoded with
//! postcard. Wire types are separate from the internal types of the processes; `From` and `TryFrom`
//! convert between them, so that a malformed message is rejected at the boundary.

pub mod count;
pub mod datagram;
pub mod directory;
pub mod duplex;
pub mod envelope;
pub mod feed;
pub mod instruction;
pub mod leaving;
pub mod local;
pub mod member;
pub mod operator;
pub mod overview;
pub mod peer;
pub mod report;
pub mod transport;

pub use count::Count;
pub use datagram::Datagram;
pub use directory::Directory;
pub use duplex::Duplex;
pub use envelope::Envelope;
pub use instruction::Instruction;
pub use leaving::Leaving;
pub use member::Member;
pub use overview::Overview;
pub use report::Report;
