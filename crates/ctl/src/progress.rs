//! Rollout progress of a generation.

use serde::Serialize;

use agatemill_core::number::Generation;
use agatemill_wire::Count;
use agatemill_wire::Member;
use agatemill_wire::Overview;
use agatemill_wire::count::Behind;

/// Output of `status`.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// State of the system as known to one control.
    #[serde(flatten)]
    pub overview: Overview,
    /// Count of members that have the generation of the control in force.
    pub count: Count,
}

/// Highest generation of the control and of all members that responded.
#[must_use]
pub fn highest_generation(overview: &Overview, count: &Count) -> Generation {
    Generation(overview.generation.max(count.highest))
}

/// Formats one line with the number of members that have the generation in force, and one line for each listed member
/// that does not.
#[must_use]
pub fn summary(count: &Count) -> String {
    let mut text = format!(
        "generation {} is in force on {} of {} live members\n",
        count.generation, count.in_force, count.members,
    );
    text.extend(count.behind.iter().map(lagging_line));
    text
}

fn lagging_line(member: &Behind) -> String {
    match member.generation {
        Some(generation) => format!("{} still has generation {generation}\n", member.host),
        None => format!("{} did not answer\n", member.host),
    }
}

impl Progress {
    /// Formats the members as a table, followed by the count.
    #[must_use]
    pub fn table(&self) -> String {
        let overview = &self.overview;
        let confirmed = overview
            .confirmed_ms
            .map_or_else(|| "never".to_owned(), |age| format!("{age}ms ago"));
        let mut text = format!(
            "{} of {}: generation {}, confirmed {confirmed}\n{:<24} {:<16} {:<8} {:<9}\n",
            overview.host,
            overview.environment,
            overview.generation,
            "HOST",
            "ZONE",
            "STATE",
            "SERVICE",
        );
        text.extend(overview.members.iter().map(member_line));
        text.push_str(&summary(&self.count));
        text
    }
}

fn member_line(member: &Member) -> String {
    let state = format!("{:?}", member.state).to_lowercase();
    let service = format!("{:?}", member.service).to_lowercase();
    format!(
        "{:<24} {:<16} {state:<8} {service:<9}\n",
        member.host.as_str(),
        member.zone.as_str(),
    )
}
