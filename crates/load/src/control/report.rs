//! Results of a measurement.

use core::fmt;
use core::time::Duration;

use compact_str::CompactString;
use serde::Serialize;

/// A measured value with its unit.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Name of the quantity.
    pub name: CompactString,
    /// Value of the quantity.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// Results of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name and parameters of the measurement.
    pub title: CompactString,
    /// Figures in the order in which they were added.
    pub figures: Vec<Figure>,
}

impl Report {
    /// Creates a report without figures.
    #[must_use]
    pub fn new(title: impl Into<CompactString>) -> Self {
        Self {
            title: title.into(),
            figures: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, name: impl Into<CompactString>, value: f64, unit: &'static str) {
        self.figures.push(Figure {
            name: name.into(),
            value,
            unit,
        });
    }

    /// Adds the mean and the maximum of the values.
    pub fn add_spread(&mut self, name: &str, values: &[f64], unit: &'static str) {
        self.add(format!("{name}, mean"), mean(values), unit);
        self.add(format!("{name}, max"), percentile(values, 1.0), unit);
    }

    /// Adds the number of times, their median, 95th percentile and maximum.
    pub fn add_times(&mut self, name: &str, times: &[Duration]) {
        let values: Vec<_> = times.iter().map(|time| time.as_secs_f64() * 1e3).collect();
        self.add(format!("{name}, count"), usize_to_f64(times.len()), "");
        self.add(format!("{name}, p50"), percentile(&values, 0.5), "ms");
        self.add(format!("{name}, p95"), percentile(&values, 0.95), "ms");
        self.add(format!("{name}, max"), percentile(&values, 1.0), "ms");
    }

    /// Formats the report as one line of JSON.
    ///
    /// # Panics
    ///
    /// Never: the fields are valid JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report is always valid JSON")
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        for figure in &self.figures {
            let Figure { name, value, unit } = figure;
            writeln!(f, "  {name:44} {value:14.3} {unit}")?;
        }
        Ok(())
    }
}

/// Converts an integer to a float; values above `u32::MAX` saturate.
#[must_use]
pub fn usize_to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Computes the mean; 0 without values.
#[must_use]
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / usize_to_f64(values.len()).max(1.0)
}

/// Computes the nearest-rank percentile: the lowest value that at least the fraction `rank` of all values does
/// not exceed; 0 without values.
#[must_use]
pub fn percentile(values: &[f64], rank: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let reaches_rank =
        |index: &usize| usize_to_f64(*index + 1) >= rank * usize_to_f64(sorted.len());
    let index = (0..sorted.len()).find(reaches_rank);
    index.map_or(0.0, |index| sorted[index])
}
