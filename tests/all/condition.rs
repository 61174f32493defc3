//! Conditions that the directive `await` waits for.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use datadriven::TestCase;

use crate::script::Script;
use crate::script::argument;
use crate::script::chat;
use crate::script::host_index;
use crate::world::PATIENCE;

impl Script {
    /// Waits for a condition and fails when it does not come; `within` bounds the time in milliseconds.
    pub(crate) fn await_condition(&mut self, case: &mut TestCase) -> String {
        let within: u64 = argument(
            case,
            "within",
            u64::try_from(PATIENCE.as_millis()).expect("short"),
        );
        let started = Instant::now();
        let held = if let Some(hosts) = case
            .try_take_args::<String>("directory")
            .expect("directory=(h0, …)")
        {
            let entries: Vec<u8> = self.host_indexes(case, "at");
            self.world()
                .until(|world| entries.iter().all(|entry| world.directory(*entry) == hosts))
        } else if let Some(name) = case
            .try_take_arg::<String>("executed")
            .expect("executed=NAME")
        {
            self.world()
                .until(|world| world.executions(&name).is_some_and(|list| !list.is_empty()))
        } else if let Some(hosts) = case
            .try_take_args::<String>("ready")
            .expect("ready=(h0, …)")
        {
            let indexes: Vec<u8> = hosts.iter().map(|host| host_index(host)).collect();
            self.world()
                .until(|world| indexes.iter().all(|index| world.is_ready(*index)))
        } else if let Some(part) = case.try_take_arg::<String>("key").expect("key=PART") {
            self.world().until(|world| world.has_key(&part))
        } else if let Some(generation) = case
            .try_take_arg::<u64>("generation")
            .expect("generation=N")
        {
            self.world().until(|world| world.generation() == generation)
        } else if let Some(generation) = case
            .try_take_arg::<u64>("platform-generation")
            .expect("a number")
        {
            self.world()
                .until(|world| world.platform_generation() == generation)
        } else if let Some(reason) = case.try_take_arg::<String>("reason").expect("reason=TEXT") {
            let entries = self.entries(case);
            self.world().until(|_| chat(entries[0]).reason == reason)
        } else if let Some(status) = case.try_take_arg::<u16>("chat").expect("chat=CODE") {
            let entries = self.entries(case);
            self.world()
                .until(|_| entries.iter().all(|entry| chat(*entry).status == status))
        } else if let Some(text) = case.try_take_arg::<String>("log").expect("log=TEXT") {
            let target: String = case.take_arg("target").expect("target=NAME");
            let needle = text.replace('_', " ");
            let end = Instant::now() + PATIENCE;
            let mut found = false;
            while !found && Instant::now() < end {
                found = self
                    .world_mut()
                    .process(&target)
                    .log_text()
                    .contains(&needle);
                thread::sleep(Duration::from_millis(20));
            }
            found
        } else {
            panic!("await needs a condition")
        };
        match (held, started.elapsed().as_millis() <= u128::from(within)) {
            (false, _) => "it did not come".to_owned(),
            (true, false) => format!("it came after {} ms", started.elapsed().as_millis()),
            (true, true) => String::new(),
        }
    }
}
