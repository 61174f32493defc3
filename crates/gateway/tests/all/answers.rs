//! Tests of requests that may end without an answer although no server failed, over connections that a caller keeps.

use core::net::SocketAddrV4;
use core::time::Duration;

use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use smol::net::TcpStream;

use crate::run_test;
use crate::system::System;
use agatemill_gateway::shutdown::Schedule;
use agatemill_gateway::state::Stage;
use agatemill_standin::Engine;
use agatemill_standin::caller::Call;
use agatemill_standin::document;
use agatemill_standin::engine::Behaviour;
use agatemill_standin::store::Fault;

/// Timeout for an answer; far above what it takes on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection of a caller.
struct Connection(TcpStream);

impl Connection {
    async fn open(host: SocketAddrV4) -> Self {
        Self(TcpStream::connect(host).await.unwrap())
    }

    async fn send(&mut self, text: &str) {
        // A connection that the host has closed shows when the answer is read.
        let _ = self.0.write_all(text.as_bytes()).await;
    }

    /// Reads one answer with a body of known length; what was received so far if the connection ends before.
    async fn answer(&mut self) -> String {
        let mut bytes = Vec::new();
        let read = async {
            let mut piece = vec![0; 64 << 10];
            let mut length = None;
            while length.is_none_or(|length| bytes.len() < length) {
                match self.0.read(&mut piece).await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => bytes.extend_from_slice(&piece[..count]),
                }
                length = length.or_else(|| answer_length(&bytes));
            }
        };
        let result = agatemill_runtime::timeout(ANSWER_TIMEOUT, read).await;
        assert!(result.is_some(), "no answer and no end of the connection");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Length of an answer with its head; `None` while the head is incomplete.
fn answer_length(bytes: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(bytes);
    let (head, _) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "))?;
    Some(head.len() + 4 + length.parse::<usize>().unwrap())
}

fn host(system: &System) -> SocketAddrV4 {
    system.call("read", "").host
}

/// Head of a request with a body of `length` bytes.
fn head(route: &str, attempt: &str, length: usize) -> String {
    format!(
        "POST /{route}/1 HTTP/1.1\r\nhost: office.example\r\nauthorization: Bearer k1\r\nx-attempt-id: {attempt}\r\n\
         x-deadline-ms: 4000\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Guards against a refusal that closes the connection before the body was sent, so that the caller may lose it.
#[test]
fn a_refused_request_whose_body_arrives_later_is_answered() {
    run_test(2, |system| async move {
        let mut connection = Connection::open(host(&system)).await;
        connection.send(&head("nowhere", "n1", 6)).await;
        agatemill_runtime::sleep(Duration::from_millis(100)).await;
        connection.send("please").await;
        let answer = connection.answer().await;
        assert!(answer.contains("404 Not Found"), "{answer:?}");
        connection
            .send(&format!("{}please", head("read", "r1", 6)))
            .await;
        let answer = connection.answer().await;
        assert!(answer.contains("200 OK"), "{answer:?}");
    });
}

/// The configuration with another idle limit of connections.
fn with_idle_limit(version: u64, ms: u32) -> String {
    let document = document::routes(version, r#""k1","k2""#);
    document.replace(
        r#""idle-timeout-ms":15000"#,
        &format!(r#""idle-timeout-ms":{ms}"#),
    )
}

async fn configure(system: &System, version: u64, document: &str) {
    system.store.put(document::KEY, document);
    let state = system.process.state();
    let is_in_force = || {
        let view = state.view();
        let configuration = view.configuration.as_ref();
        configuration.is_some_and(|configuration| configuration.version == version)
    };
    system
        .wait_until("the configuration is in force", is_in_force)
        .await;
}

/// Guards against a request without an answer on a connection that is closed after the idle limit of an older
/// configuration.
#[test]
fn an_open_connection_follows_a_raised_idle_limit() {
    run_test(2, |system| async move {
        configure(&system, 4, &with_idle_limit(4, 2_000)).await;
        let mut connection = Connection::open(host(&system)).await;
        connection.send(&head("read", "r1", 0)).await;
        assert!(connection.answer().await.contains("200 OK"));
        configure(&system, 5, &with_idle_limit(5, 15_000)).await;
        agatemill_runtime::sleep(Duration::from_millis(2_300)).await;
        connection.send(&head("read", "r2", 0)).await;
        let answer = connection.answer().await;
        assert!(answer.contains("200 OK"), "{answer:?}");
    });
}

/// Guards against idle connections that stay open without a limit.
#[test]
fn an_idle_connection_is_closed_at_its_limit() {
    run_test(2, |system| async move {
        configure(&system, 4, &with_idle_limit(4, 300)).await;
        let mut connection = Connection::open(host(&system)).await;
        let start = agatemill_runtime::now();
        assert_eq!(connection.answer().await, "");
        let taken = agatemill_runtime::now().saturating_sub(start);
        assert!(taken >= Duration::from_millis(290), "{taken:?}");
        assert!(taken < Duration::from_secs(3), "{taken:?}");
    });
}

/// Guards against a caller that waits without an answer because its body does not arrive.
#[test]
fn a_request_whose_body_does_not_arrive_is_answered_at_its_deadline() {
    run_test(2, |system| async move {
        for (route, status) in [("read", "408"), ("nowhere", "404")] {
            let mut connection = Connection::open(host(&system)).await;
            let start = agatemill_runtime::now();
            connection.send(&head(route, route, 6)).await;
            connection.send("pl").await;
            let answer = connection.answer().await;
            assert!(answer.contains(status), "{answer:?}");
            let taken = agatemill_runtime::now().saturating_sub(start);
            assert!(taken < Duration::from_millis(4_500), "{taken:?}");
            assert_eq!(system.run_count(route), 0);
        }
    });
}

/// Guards against a process that exits before a caller has received the whole answer.
#[test]
fn a_planned_stop_waits_until_answers_are_written() {
    const BODY_BYTES: usize = 7_500_000;
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::LargeBody(BODY_BYTES));
        }
        let mut connection = Connection::open(host(&system)).await;
        set_socket_recv_buffer_size(&connection.0, 64 << 10).unwrap();
        connection.send(&head("pay", "p1", 0)).await;
        let state = system.process.state().clone();
        let is_answered = || system.run_count("p1") == 1 && state.active() == 0;
        system.wait_until("the call is answered", is_answered).await;
        let read = async {
            agatemill_runtime::sleep(Duration::from_millis(1_500)).await;
            let answer = connection.answer().await;
            (answer.len(), agatemill_runtime::now())
        };
        let stop = async {
            system.process.close().await;
            agatemill_runtime::now()
        };
        let ((length, received), stopped) = futures::join!(read, stop);
        assert!(length > BODY_BYTES, "{length}");
        assert!(stopped >= received, "{stopped:?} {received:?}");
    });
}

/// Guards against a connection that is closed without an answer because the grace period ends while a call runs.
#[test]
fn a_call_that_outlasts_the_grace_period_is_answered() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::Slow(3_900));
        }
        let mut connection = Connection::open(host(&system)).await;
        connection.send(&head("pay", "p1", 0)).await;
        system
            .wait_until("the call runs", || system.run_count("p1") == 1)
            .await;
        let answer = async {
            let answer = connection.answer().await;
            (answer, agatemill_runtime::now())
        };
        let stop = async {
            system.process.close().await;
            agatemill_runtime::now()
        };
        let ((answer, received), stopped) = futures::join!(answer, stop);
        assert!(answer.contains("504 Gateway Timeout"), "{answer:?}");
        assert!(stopped >= received, "{stopped:?} {received:?}");
    });
}

/// Guards against a stream that is let in although it is sent later than callers may count on, and is cut when the process exits.
#[test]
fn a_stream_that_is_sent_late_in_a_planned_stop_is_not_started() {
    run_test(2, |system| async move {
        let mut connection = Connection::open(host(&system)).await;
        connection.send(&head("pay", "p1", 0)).await;
        assert!(connection.answer().await.contains("200 OK"));
        let excused = system.settings.bounds.grace.to_duration().mul_f64(0.375);
        // A slow deregistration must not delay the refusals.
        system.store.set_fault(Fault::Silent);
        let (engines, process) = (system.engines, system.process);
        let signalled = agatemill_runtime::now();
        let late = async {
            agatemill_runtime::sleep(excused).await;
            connection.send(&head("draft", "d1", 0)).await;
            connection.answer().await
        };
        let (answer, ()) = futures::join!(late, process.close_since(signalled));
        assert!(answer.is_empty() || answer.contains("503"), "{answer:?}");
        let mut arrivals = engines.iter().flat_map(Engine::arrivals);
        assert!(arrivals.all(|arrival| arrival.attempt != "d1"));
    });
}

/// Guards against the same when the stream came before and waits for a path.
#[test]
fn a_stream_that_waits_until_late_in_a_planned_stop_is_not_started() {
    run_test(2, |system| async move {
        let patient = document::routes(4, r#""k1","k2""#)
            .replace(r#""timeout-ms":4000"#, r#""timeout-ms":60000"#)
            .replace(r#""target-latency-ms":500"#, r#""target-latency-ms":60000"#);
        configure(&system, 4, &patient).await;
        let state = system.process.state().clone();
        for engine in &system.engines {
            state.avoid(engine.address, Duration::from_secs(5), "test");
        }
        let call = Call {
            deadline: Duration::from_mins(1),
            ..system.call("draft", "d1")
        };
        let stop = async {
            system
                .wait_until("the stream waits", || state.active() == 1)
                .await;
            state.set_stage(Stage::Closing);
        };
        let (response, ()) = futures::join!(system.send_call(call), stop);
        assert_eq!(response.status, 503, "{response:?}");
        assert_eq!(system.run_count("d1"), 0);
    });
}

/// Guards against a stream that is started in a planned stop although it cannot end in time, and is cut when the process exits.
#[test]
fn a_stream_that_would_outlast_a_planned_stop_is_not_started() {
    run_test(2, |system| async move {
        let state = system.process.state().clone();
        let exit = agatemill_runtime::now() + Duration::from_hours(1);
        state.leave(Schedule {
            closing: exit,
            ending: exit,
            answering: exit,
            exit,
        });
        assert_eq!(system.send("draft", "short").await.status, 200);
        let slow = document::routes(4, r#""k1","k2""#)
            .replace(r#""step_ms":1.0"#, r#""step_ms":1000000.0"#);
        configure(&system, 4, &slow).await;
        let response = system.send("draft", "long").await;
        assert_eq!(response.status, 503, "{response:?}");
        assert_eq!(system.run_count("long"), 0);
    });
}

/// Guards against a call whose caller is told that it may have run, although its server is about to answer and there is time.
#[test]
fn a_call_that_runs_when_no_more_requests_are_started_is_completed() {
    run_test(2, |system| async move {
        for server in &system.services {
            server.set_behaviour(Behaviour::Slow(300));
        }
        let state = system.process.state().clone();
        let stop = async {
            system
                .wait_until("the call runs", || system.run_count("p1") == 1)
                .await;
            let now = agatemill_runtime::now();
            let exit = now + Duration::from_hours(1);
            state.leave(Schedule {
                closing: now,
                ending: now,
                answering: exit,
                exit,
            });
            state.set_stage(Stage::Ending);
            let late = system.send("pay", "p2").await;
            assert_eq!(late.status, 503, "{late:?}");
        };
        let (response, ()) = futures::join!(system.send("pay", "p1"), stop);
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(system.run_count("p2"), 0);
    });
}

/// Guards against a caller whose connection is closed without a response because it connects when the process is about to exit.
#[test]
fn a_caller_that_connects_when_no_more_requests_are_started_is_answered() {
    run_test(2, |system| async move {
        let state = system.process.state().clone();
        state.set_stage(Stage::Ending);
        system
            .wait_until("the kept connections are closed", || {
                state.connections() == 0
            })
            .await;
        let mut connection = Connection::open(host(&system)).await;
        agatemill_runtime::sleep(Duration::from_millis(50)).await;
        connection.send(&head("pay", "p1", 0)).await;
        let answer = connection.answer().await;
        assert!(answer.contains("503"), "{answer:?}");
        assert!(answer.contains("connection: close"), "{answer:?}");
        assert_eq!(system.run_count("p1"), 0);
        assert_eq!(system.ready().await, 503);
        system
            .wait_until("the connection of the check is closed", || {
                state.connections() == 0
            })
            .await;
    });
}

/// Guards against a request that begins at the moment at which the process exits.
#[test]
fn a_request_after_the_grace_period_is_not_sent() {
    run_test(2, |system| async move {
        let mut connection = Connection::open(host(&system)).await;
        connection.send(&head("pay", "p1", 0)).await;
        assert!(connection.answer().await.contains("200 OK"));
        let callers = host(&system);
        let (servers, process) = (system.services, system.process);
        process.close().await;
        connection.send(&head("pay", "p2", 0)).await;
        let answer = connection.answer().await;
        assert!(answer.is_empty() || answer.contains("503"), "{answer:?}");
        let is_open = TcpStream::connect(callers).await.is_ok();
        let arrivals = servers.iter().flat_map(Engine::arrivals);
        assert_eq!(
            arrivals.filter(|arrival| arrival.attempt == "p2").count(),
            0
        );
        assert!(!is_open);
    });
}

async fn in_flight(system: &System) -> String {
    let uri = format!("http://{}/", system.process.state().settings().metrics);
    let (_, metrics) = system.get(&uri).await;
    let mut lines = metrics.lines();
    let line = lines.find(|line| line.starts_with("agatemill_in_flight"));
    line.unwrap().rsplit(' ').next().unwrap().to_owned()
}

/// Guards against requests of callers that left which count as in progress for ever.
#[test]
fn a_request_whose_caller_leaves_is_no_longer_in_flight() {
    run_test(2, |system| async move {
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::StallAfter(2));
        }
        for server in &system.services {
            server.set_behaviour(Behaviour::Slow(3_000));
        }
        for route in ["draft", "read"] {
            let mut connection = Connection::open(host(&system)).await;
            connection.send(&head(route, route, 0)).await;
            system
                .wait_until("the request runs", || system.run_count(route) > 0)
                .await;
            agatemill_runtime::sleep(Duration::from_millis(100)).await;
            assert_eq!(in_flight(&system).await, "1");
            drop(connection);
            agatemill_runtime::sleep(Duration::from_millis(300)).await;
            assert_eq!(in_flight(&system).await, "0", "{route}");
        }
    });
}

/// Guards against engines that go on working for a caller that has left, on one of two runs of its stream.
#[test]
fn a_caller_that_leaves_ends_both_runs_of_its_stream() {
    run_test(4, |system| async move {
        let mut connection = Connection::open(host(&system)).await;
        for engine in &system.engines {
            engine.set_behaviour(Behaviour::StallAfter(2));
        }
        connection.send(&head("draft", "a1", 0)).await;
        system
            .wait_until("the stream runs", || system.run_count("a1") > 0)
            .await;
        let mut engines = system.engines.iter();
        let first = engines.find(|engine| !engine.arrivals().is_empty());
        first.unwrap().pause(Duration::from_secs(10));
        system
            .wait_until("both runs are open", || open_streams(&system) == 2)
            .await;
        drop(connection);
        agatemill_runtime::sleep(Duration::from_millis(400)).await;
        assert_eq!(open_streams(&system), 0);
    });
}

fn open_streams(system: &System) -> usize {
    system.engines.iter().map(Engine::open_streams).sum()
}

/// The configuration with another limit on the heads of requests.
fn with_head_limit(version: u64, bytes: usize) -> String {
    let document = document::routes(version, r#""k1","k2""#);
    document.replace(
        r#""max-header-bytes":16384"#,
        &format!(r#""max-header-bytes":{bytes}"#),
    )
}

/// Guards against a request that is refused, or loses its answer, on an open connection because of the limit on heads of an
/// older configuration.
#[test]
fn an_open_connection_follows_the_limit_on_heads() {
    const HEAD_BYTES: usize = 24_000;
    run_test(2, |system| async move {
        configure(&system, 4, &with_head_limit(4, 9_000)).await;
        let mut connection = Connection::open(host(&system)).await;
        let mut request = async |attempt| {
            let filler = format!("\r\nx-filler: {}\r\n\r\n", "x".repeat(HEAD_BYTES));
            let head = head("read", attempt, 0).replace("\r\n\r\n", &filler);
            connection.send(&head).await;
            connection.answer().await
        };
        configure(&system, 5, &with_head_limit(5, 32_000)).await;
        let answer = request("r1").await;
        assert!(answer.contains("200 OK"), "{answer:?}");
        configure(&system, 6, &with_head_limit(6, 9_000)).await;
        let answer = request("r2").await;
        assert!(answer.contains("431 "), "{answer:?}");
        assert_eq!(system.run_count("r2"), 0);
    });
}
