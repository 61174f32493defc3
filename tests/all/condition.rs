//! The directive `await` and its conditions.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use datadriven::TestCase;

use crate::script::Script;
use crate::script::argument_or;
use crate::script::host_index;
use crate::script::send_short_chat;
use crate::world::CONDITION_TIMEOUT;

impl Script {
    /// Waits until a condition holds. Reports a condition that does not hold before the timeout, or that held only
    /// after `within` milliseconds.
    pub(crate) fn await_condition(&mut self, case: &mut TestCase) -> String {
        let within: u64 = argument_or(
            case,
            "within",
            u64::try_from(CONDITION_TIMEOUT.as_millis()).expect("the timeout fits into 64 bits"),
        );
        let started = Instant::now();
        let is_met = if let Some(hosts) = case
            .try_take_args::<String>("directory")
            .expect("directory=(h0, …)")
        {
            let entries: Vec<u8> = self.host_indexes(case, "at");
            self.cluster().wait_until(|cluster| {
                entries
                    .iter()
                    .all(|entry| cluster.directory(*entry) == hosts)
            })
        } else if let Some(name) = case
            .try_take_arg::<String>("executed")
            .expect("executed=NAME")
        {
            self.cluster().wait_until(|cluster| {
                cluster
                    .executions(&name)
                    .is_some_and(|list| !list.is_empty())
            })
        } else if let Some(hosts) = case
            .try_take_args::<String>("ready")
            .expect("ready=(h0, …)")
        {
            let indexes: Vec<u8> = hosts.iter().map(|host| host_index(host)).collect();
            self.cluster()
                .wait_until(|cluster| indexes.iter().all(|index| cluster.is_ready(*index)))
        } else if let Some(part) = case.try_take_arg::<String>("key").expect("key=PART") {
            self.cluster().wait_until(|cluster| cluster.has_key(&part))
        } else if let Some(generation) = case
            .try_take_arg::<u64>("generation")
            .expect("generation=N")
        {
            self.cluster()
                .wait_until(|cluster| cluster.common_generation() == generation)
        } else if let Some(generation) = case
            .try_take_arg::<u64>("platform-generation")
            .expect("platform-generation=N")
        {
            self.cluster()
                .wait_until(|cluster| cluster.platform_generation() == generation)
        } else if let Some(reason) = case.try_take_arg::<String>("reason").expect("reason=TEXT") {
            let entries = self.entries(case);
            self.cluster()
                .wait_until(|_| send_short_chat(entries[0]).reason == reason)
        } else if let Some(status) = case.try_take_arg::<u16>("chat").expect("chat=CODE") {
            let entries = self.entries(case);
            self.cluster().wait_until(|_| {
                entries
                    .iter()
                    .all(|entry| send_short_chat(*entry).status == status)
            })
        } else if let Some(text) = case.try_take_arg::<String>("log").expect("log=TEXT") {
            let target: String = case.take_arg("target").expect("target=NAME");
            let needle = text.replace('_', " ");
            let deadline = Instant::now() + CONDITION_TIMEOUT;
            let mut found = false;
            while !found && Instant::now() < deadline {
                found = self
                    .cluster_mut()
                    .process(&target)
                    .log_text()
                    .contains(&needle);
                thread::sleep(Duration::from_millis(20));
            }
            found
        } else {
            panic!("`await` without a condition")
        };
        match (is_met, started.elapsed().as_millis() <= u128::from(within)) {
            (false, _) => "the condition was not met".to_owned(),
            (true, false) => format!(
                "the condition was met only after {} ms",
                started.elapsed().as_millis()
            ),
            (true, true) => String::new(),
        }
    }
}
