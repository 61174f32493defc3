//! Watches of keys.

use http_body_util::BodyExt;

use crate::Entry;
use crate::Error;
use crate::client::MAX_RESPONSE_BYTES;
use crate::gateway;

/// A stream of changes of one key. Dropping the stream closes the watch.
#[derive(Debug)]
pub struct Watch {
    body: agatemill_http::Body,
    /// Received bytes that are not parsed yet.
    buffer: Vec<u8>,
    /// Received changes that [`Watch::next`] has not returned yet, in reverse order.
    pending: Vec<Change>,
}

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted.
    Deleted,
}

impl Watch {
    pub(crate) fn new(body: agatemill_http::Body) -> Self {
        Self {
            body,
            buffer: Vec::new(),
            pending: Vec::new(),
        }
    }

    /// Waits for the next change, without a timeout.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the watch has ended; the caller must open a new watch and read the key.
    pub async fn next(&mut self) -> Result<Change, Error> {
        loop {
            if let Some(change) = self.pending.pop() {
                return Ok(change);
            }
            match self.take_line() {
                Some(line) => self.parse(&line)?,
                None => self.receive().await?,
            }
        }
    }

    /// Closes the watch.
    pub fn close(self) {
        drop(self);
    }

    async fn receive(&mut self) -> Result<(), Error> {
        let ended = || Error::Unavailable("the watch has ended".to_owned());
        let frame = self.body.frame().await.ok_or_else(ended)?;
        let frame = frame.map_err(|error| Error::Unavailable(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        if self.buffer.len() > MAX_RESPONSE_BYTES {
            return Err(Error::Malformed(
                "a line of the watch exceeds the maximum response size".to_owned(),
            ));
        }
        Ok(())
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let rest = self.buffer.split_off(end + 1);
        Some(core::mem::replace(&mut self.buffer, rest))
    }

    fn parse(&mut self, line: &[u8]) -> Result<(), Error> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let line: gateway::Line<gateway::WatchAnswer> =
            serde_json::from_slice(line).map_err(|error| Error::Malformed(error.to_string()))?;
        if line.result.canceled {
            let reason = match line.result.compact_revision.as_str() {
                "" => "the service cancelled the watch".to_owned(),
                revision => format!(
                    "the service cancelled the watch; history is compacted up to revision {revision}"
                ),
            };
            return Err(Error::Unavailable(reason));
        }
        for event in line.result.events.into_iter().rev() {
            let change = match event.kind.as_str() {
                "DELETE" => Change::Deleted,
                _ => Change::Put(Entry::try_from(event.kv)?),
            };
            self.pending.push(change);
        }
        Ok(())
    }
}
