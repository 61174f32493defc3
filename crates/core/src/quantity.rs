//! Sizes, rates and durations with units.

pub mod rate;
pub mod size;
pub mod time;

pub use rate::Rate;
pub use size::Size;
pub use time::Time;
