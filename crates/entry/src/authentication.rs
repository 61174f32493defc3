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
/// Only digests are compared. The digest of the caller's own token selects the bucket, and every digest in the
/// bucket is compared in full, so that the timing reveals nothing about the tokens of others.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    buckets: HashMap<u16, Vec<Credential>>,
}

#[derive(Clone, Debug)]
struct Credential {
    digest: Digest,
    organisation: Arc<Organisation>,
}

impl Tokens {
    /// Builds the table from a document.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let mut table = Self::default();
        for organisation in &document.organisations {
            let organisation = Arc::new(organisation.clone());
            for digest in &organisation.tokens {
                let credential = Credential {
                    digest: *digest,
                    organisation: Arc::clone(&organisation),
                };
                table
                    .buckets
                    .entry(bucket(digest))
                    .or_default()
                    .push(credential);
            }
        }
        table
    }

    /// Returns the organisation of the bearer token in the header `Authorization`.
    ///
    /// # Errors
    ///
    /// [`Reason::Unauthorized`] when the header is missing, repeated or not a bearer token, or the token is unknown.
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
        let credentials = self.buckets.get(&bucket(digest))?;
        let mut found = None;
        for credential in credentials {
            if full_eq(&credential.digest, digest) {
                found = Some(Arc::clone(&credential.organisation));
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

/// Compares all bytes, wherever the first difference is.
fn full_eq(left: &Digest, right: &Digest) -> bool {
    let pairs = left.as_bytes().iter().zip(right.as_bytes());
    let difference = pairs.fold(0, |sum, (left, right)| sum | (left ^ right));
    core::hint::black_box(difference) == 0
}
