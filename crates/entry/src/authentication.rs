//! Authentication by bearer token.

use std::collections::HashMap;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use agatemill_config::Document;
use agatemill_config::document::Organisation;
use agatemill_core::Digest;
use agatemill_core::Reason;
use agatemill_core::Refusal;

/// Organisations by the SHA-256 digest of their tokens.
///
/// Only digests are compared. The bucket that is searched follows from the digest of the caller's own
/// token, and every digest of the bucket is compared in full, so that the time tells nothing about the
/// tokens of others.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    buckets: HashMap<u16, Vec<Holder>>,
}

#[derive(Clone, Debug)]
struct Holder {
    digest: Digest,
    organisation: Arc<Organisation>,
}

impl Tokens {
    /// Builds the table of a document.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let mut table = Self::default();
        for organisation in &document.organisations {
            let organisation = Arc::new(organisation.clone());
            for digest in &organisation.tokens {
                let holder = Holder {
                    digest: *digest,
                    organisation: Arc::clone(&organisation),
                };
                table
                    .buckets
                    .entry(bucket(digest))
                    .or_default()
                    .push(holder);
            }
        }
        table
    }

    /// The organisation that a request's `Authorization` header names.
    ///
    /// # Errors
    ///
    /// [`Reason::Unauthorized`] when the header is missing, is no bearer token or is not known.
    pub fn authenticate(&self, headers: &HeaderMap) -> Result<Arc<Organisation>, Refusal> {
        let refuse = |detail| Refusal::not_run(Reason::Unauthorized, detail);
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let value = values
            .next()
            .ok_or_else(|| refuse("the header Authorization is missing"))?;
        if values.next().is_some() {
            return Err(refuse("the header Authorization is given more than once"));
        }
        let token = bearer(value.as_bytes())
            .ok_or_else(|| refuse("the header Authorization holds no bearer token"))?;
        self.find(&Digest::of(token))
            .ok_or_else(|| refuse("the bearer token belongs to no organisation"))
    }

    fn find(&self, digest: &Digest) -> Option<Arc<Organisation>> {
        let holders = self.buckets.get(&bucket(digest))?;
        let mut found = None;
        for holder in holders {
            if same(&holder.digest, digest) {
                found = Some(Arc::clone(&holder.organisation));
            }
        }
        found
    }
}

fn bearer(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked("Bearer ".len())?;
    let token = token.trim_ascii();
    (scheme.eq_ignore_ascii_case(b"Bearer ") && !token.is_empty()).then_some(token)
}

fn bucket(digest: &Digest) -> u16 {
    let bytes = digest.as_bytes();
    u16::from_be_bytes([bytes[0], bytes[1]])
}

/// Compares all bytes, whichever differ.
fn same(left: &Digest, right: &Digest) -> bool {
    let pairs = left.as_bytes().iter().zip(right.as_bytes());
    let difference = pairs.fold(0, |sum, (left, right)| sum | (left ^ right));
    core::hint::black_box(difference) == 0
}
