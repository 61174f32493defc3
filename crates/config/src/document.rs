//! The parsed document and its parts.

pub mod call;
pub mod engine;
pub mod link;
pub mod model;
pub mod organisation;
pub mod server;
pub mod service;
pub mod settings;
pub mod zone;

pub(crate) mod draft;

pub use call::Call;
pub use engine::Engine;
pub use link::Link;
pub use model::Model;
pub use organisation::Organisation;
pub use server::Server;
pub use service::Service;
pub use settings::Settings;
pub use zone::Zone;

use serde::Deserialize;
use serde::Serialize;

use crate::check;
use crate::fault::Faults;
use crate::source::Source;
use agatemill_core::Digest;
use agatemill_core::id;

/// The operators' configuration, as written in TOML.
///
/// Unknown keys are rejected. Invariants of a checked document: names are unique within their list (a model
/// by name and version), every reference names an entry of this document, the engines of each half and
/// model cover every layer, and an organisation refers only to models and services of its own half.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// System-wide settings, `[settings]`.
    #[serde(default)]
    pub settings: Settings,
    /// The halves, `halves = ["kadunaledger", "toponymie"]`.
    pub halves: Vec<id::Half>,
    /// Availability zones, `[[zone]]`.
    #[serde(default, rename = "zone")]
    pub zones: Vec<Zone>,
    /// Links between zones, `[[link]]`; a pair without an entry has the default latency of [`Settings`].
    #[serde(default, rename = "link")]
    pub links: Vec<Link>,
    /// Models, `[[model]]`.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Model engines, `[[engine]]`.
    #[serde(default, rename = "engine")]
    pub engines: Vec<Engine>,
    /// Plain services, `[[service]]`.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Organisations, `[[organisation]]`.
    #[serde(default, rename = "organisation")]
    pub organisations: Vec<Organisation>,
}

impl Document {
    /// Parses and checks a document. All faults are reported together, except that a syntax error is
    /// reported alone. A document with any fault is rejected as a whole.
    ///
    /// # Errors
    ///
    /// [`Faults`], each with its field and line, the value found and the value expected.
    ///
    /// # Panics
    ///
    /// Never: a part that could not be read has a fault.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let source = Source::new(text)?;
        let draft = draft::Draft::read(&source);
        check::run(&source, &draft);
        source.finish()?;
        let document = draft.into_document();
        Ok(document.expect("a part that could not be read has a fault"))
    }

    /// Computes the digest of the text of a document, as in [`Envelope`](crate::Envelope). Texts that parse
    /// to equal documents but are formatted differently have different digests.
    #[must_use]
    pub fn digest(text: &str) -> Digest {
        Digest::of(text.as_bytes())
    }

    /// Serialises the document to TOML that [`Document::parse`] parses to the same value. Comments of the
    /// original text are not part of a document and are lost.
    ///
    /// # Panics
    ///
    /// Never: every part of a document has a TOML form.
    #[must_use]
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("every part of a document has a TOML form")
    }
}
