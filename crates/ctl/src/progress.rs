//! How far a generation has come.

use serde::Serialize;

use agatemill_core::number::Generation;
use agatemill_wire::Count;
use agatemill_wire::Member;
use agatemill_wire::Overview;
use agatemill_wire::count::Behind;

/// What `status` shows.
#[derive(Clone, Debug, Serialize)]
pub struct Progress {
    /// State of the system as one control sees it.
    #[serde(flatten)]
    pub overview: Overview,
    /// How many members have the control's generation in force.
    pub count: Count,
}

/// Highest generation that the control or any member that answered holds.
#[must_use]
pub fn highest(overview: &Overview, count: &Count) -> Generation {
    Generation(overview.generation.max(count.highest))
}

/// One line on how many members have the generation in force, and one for each named member that has not.
#[must_use]
pub fn summary(count: &Count) -> String {
    let mut text = format!(
        "generation {} is in force on {} of {} live members\n",
        count.generation, count.in_force, count.members,
    );
    text.extend(count.behind.iter().map(behind));
    text
}

fn behind(member: &Behind) -> String {
    match member.generation {
        Some(generation) => format!("{} still has generation {generation}\n", member.host),
        None => format!("{} did not answer\n", member.host),
    }
}

impl Progress {
    /// The members as a table with a line for each, and the count.
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
        text.extend(overview.members.iter().map(line));
        text.push_str(&summary(&self.count));
        text
    }
}

fn line(member: &Member) -> String {
    let state = format!("{:?}", member.state).to_lowercase();
    let service = format!("{:?}", member.service).to_lowercase();
    format!(
        "{:<24} {:<16} {state:<8} {service:<9}\n",
        member.host.as_str(),
        member.zone.as_str(),
    )
}
