//! Guards against a fake service that records the wrong executions.

use core::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

use agatemill_core::Digest;
use agatemill_fake::service::Echo;
use agatemill_fake::service::Service;
use agatemill_fake::service::Settings;
use agatemill_http::Client;
use agatemill_http::Error;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn call(service: &Service) -> Result<hyper::Response<Bytes>, Error> {
    let request = Request::post(format!("http://{}/pay?a=1", service.address()))
        .header("idempotency-key", "k")
        .body(Full::new(Bytes::from("body")))
        .expect("a request");
    Client::without_reuse(TIMEOUT)
        .fetch(request, TIMEOUT, 1 << 20)
        .await
}

/// Guards against a missing record of a call that ran but whose response was cut, and against a record of a rejected
/// call.
#[test]
fn records_exactly_the_calls_that_ran() {
    smol::block_on(async {
        let listen = "127.0.0.1:0".parse().expect("an address");
        let service = Service::listen(&Settings { listen })
            .await
            .expect("listens");
        let answer = call(&service).await.expect("an answer");
        let echo: Echo = serde_json::from_slice(answer.body()).expect("an echo");
        let expected = Echo {
            method: "POST".into(),
            path: "/pay?a=1".into(),
            body: Digest::of(b"body"),
            number: 0,
        };
        assert_eq!(echo, expected);
        service.update_faults(|faults| faults.cut = 1);
        assert!(matches!(call(&service).await, Err(Error::Lost(_))));
        service.update_faults(|faults| (faults.refuse, faults.status) = (1, 503));
        assert_eq!(call(&service).await.expect("an answer").status(), 503);
        let executions = service.executions();
        assert_eq!(executions.len(), 2);
        assert!(executions.iter().all(|one| one.key.as_deref() == Some("k")));
        let address = service.address();
        service.close();
        let request = Request::get(format!("http://{address}/")).body(Full::default());
        let refused = Client::new(TIMEOUT)
            .fetch(request.expect("a request"), TIMEOUT, 1)
            .await;
        assert!(matches!(refused, Err(Error::Connect(_))));
    });
}
