//! Sizes, rates and durations with units.

pub mod bandwidth;
pub mod rate;
pub mod size;
pub mod time;

pub use bandwidth::Bandwidth;
pub use rate::Rate;
pub use size::Size;
pub use time::Time;
