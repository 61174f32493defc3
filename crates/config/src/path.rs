//! Paths of fields in a document.

use core::fmt;

/// One step from a value to a nested value.
#[derive(Clone, Copy)]
pub(crate) enum Step<'a> {
    /// Value of a key of a table.
    Key(&'a str),
    /// Item of an array.
    Index(usize),
}

/// Path of a field. Each level borrows its parent, so that reading a valid document allocates no text.
#[derive(Clone, Copy)]
pub(crate) struct Path<'a> {
    parent: Option<&'a Path<'a>>,
    step: Step<'a>,
}

impl<'a> Path<'a> {
    pub(crate) fn root(key: &'a str) -> Self {
        Self {
            parent: None,
            step: Step::Key(key),
        }
    }

    pub(crate) fn key(&'a self, key: &'a str) -> Self {
        Self {
            parent: Some(self),
            step: Step::Key(key),
        }
    }

    pub(crate) fn index(&'a self, index: usize) -> Self {
        Self {
            parent: Some(self),
            step: Step::Index(index),
        }
    }

    /// Returns the steps from the root to the field.
    pub(crate) fn steps(&self) -> Vec<Step<'a>> {
        let mut steps: Vec<_> = core::iter::successors(Some(*self), |path| path.parent.copied())
            .map(|path| path.step)
            .collect();
        steps.reverse();
        steps
    }
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(parent) = self.parent {
            write!(f, "{parent}")?;
        }
        match (self.step, self.parent) {
            (Step::Key(key), None) => write!(f, "{key}"),
            (Step::Key(key), Some(_)) => write!(f, ".{key}"),
            (Step::Index(index), _) => write!(f, "[{index}]"),
        }
    }
}
