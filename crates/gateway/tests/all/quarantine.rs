//! Tests of requests on which engines crash.

use crate::complete_stream;
use crate::run_test;
use agatemill_standin::Engine;
use agatemill_standin::caller::Call;
use agatemill_standin::engine::Behaviour;
use agatemill_standin::engine::POISON_PART;

/// Engines that one part of a prompt may crash.
const MAX_CRASHES: usize = 4;

/// Guards against requests that crash one engine after another because they share a part of their prompts.
#[test]
fn a_part_of_a_prompt_on_which_engines_crash_stops_reaching_them() {
    run_test(8, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::CrashOnPart);
        }
        let healthy = |number: usize| format!("5eed0001:40,{number:x}:60");
        let poison = |number: usize| format!("5eed0001:40,{POISON_PART}:20,{number:x}:60");
        for number in 0..4 {
            let (attempt, prompt) = (format!("s{number}"), healthy(number));
            let call = Call {
                prompt: &prompt,
                ..system.call("draft", &attempt)
            };
            assert_eq!(system.send_call(call).await.body, complete_stream());
        }
        let mut last = None;
        for number in 0..8 {
            let (attempt, prompt) = (format!("d{number}"), poison(number));
            let call = Call {
                prompt: &prompt,
                ..system.call("draft", &attempt)
            };
            last = Some(system.send_call(call).await);
            system.wait_for_restarts().await;
        }
        let arrivals: Vec<_> = system.engines.iter().flat_map(Engine::arrivals).collect();
        let crashes = arrivals
            .iter()
            .filter(|arrival| arrival.prompt.contains(POISON_PART));
        assert!(crashes.count() <= MAX_CRASHES);
        let last = last.unwrap();
        assert_eq!(last.status, 503, "{last:?}");
        assert!(last.headers.contains_key("retry-after"));
        let key = format!("agatemill/quarantine/{POISON_PART}");
        system
            .wait_until("the entry is stored", || system.store.value(&key).is_some())
            .await;
        let call = Call {
            prompt: "5eed0001:40,ffff:60",
            ..system.call("draft", "s9")
        };
        assert_eq!(system.send_call(call).await.body, complete_stream());
    });
}

/// Guards against a part that crashes engines without end because it stands behind many others, or because its id is longer
/// than usual.
#[test]
fn a_part_on_which_engines_crash_is_found_in_any_prompt() {
    let many: Vec<String> = (0..17).map(|part| format!("a{part:07x}:5,")).collect();
    let many = many.concat();
    let long_id = format!("{POISON_PART}{POISON_PART}{POISON_PART}");
    for (before, part) in [(many.as_str(), POISON_PART), ("5eed0001:5,", &long_id)] {
        run_test(8, |system| async move {
            for engine in &system.engines {
                engine.set_behaviour(Behaviour::CrashOnPart);
            }
            for number in 0..8 {
                let sound = format!("{before}b0000001:5,{number:x}1:5");
                let poison = format!("{before}{part}:5,{number:x}2:5");
                for (kind, prompt) in [("s", &sound), ("d", &poison)] {
                    let attempt = format!("{kind}{number}");
                    let call = Call {
                        prompt,
                        ..system.call("draft", &attempt)
                    };
                    let response = system.send_call(call).await;
                    if kind == "s" {
                        assert_eq!(response.body, complete_stream(), "{response:?}");
                    }
                    system.wait_for_restarts().await;
                }
            }
            let arrivals = system.engines.iter().flat_map(Engine::arrivals);
            let crashes = arrivals.filter(|arrival| arrival.prompt.contains(POISON_PART));
            let crashes = crashes.count();
            assert!(crashes <= MAX_CRASHES, "{crashes}");
        });
    }
}

/// Guards against a restarted host that sends quarantined requests to engines while no other host runs.
#[test]
fn a_host_that_starts_reads_quarantined_parts_from_the_store() {
    run_test(2, |mut system| async move {
        let key = format!("agatemill/quarantine/{POISON_PART}");
        system.store.put(&key, "");
        system.replace_host().await;
        let prompt = format!("{POISON_PART}:20,1:60");
        let call = Call {
            prompt: &prompt,
            ..system.call("draft", "d1")
        };
        let response = system.send_call(call).await;
        assert_eq!(response.status, 503);
        assert_eq!(system.run_count("d1"), 0);
    });
}

/// Guards against callers that crash engine after engine by repeating one request.
#[test]
fn a_request_on_which_engines_crash_stops_reaching_them() {
    run_test(8, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::CrashOnPart);
        }
        let call = Call {
            prompt: "5eed0001:40,1:60",
            ..system.call("draft", "s1")
        };
        assert_eq!(system.send_call(call).await.body, complete_stream());
        let prompt = format!("5eed0001:40,{POISON_PART}:60");
        let mut last = None;
        for number in 0..5 {
            let attempt = format!("d{number}");
            let call = Call {
                prompt: &prompt,
                ..system.call("draft", &attempt)
            };
            last = Some(system.send_call(call).await.status);
            system.wait_for_restarts().await;
        }
        let arrivals: Vec<_> = system.engines.iter().flat_map(Engine::arrivals).collect();
        let crashes = arrivals.iter().filter(|arrival| arrival.prompt == prompt);
        assert!(crashes.count() <= MAX_CRASHES);
        assert_eq!(last.unwrap(), 503);
    });
}
