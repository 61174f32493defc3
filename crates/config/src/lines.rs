//! Conversion of byte offsets to line numbers.

/// Index of the line starts of a text.
pub(crate) struct Lines {
    /// Byte offsets after each line feed, in ascending order.
    starts: Vec<usize>,
}

impl Lines {
    pub(crate) fn new(text: &str) -> Self {
        let feeds = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self {
            starts: feeds.map(|(offset, _)| offset + 1).collect(),
        }
    }

    /// Returns the line of a byte offset, counted from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset) + 1
    }
}
