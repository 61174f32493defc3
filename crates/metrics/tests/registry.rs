//! Tests of the metrics registry.

use agatemill_core::Reason;
use agatemill_metrics::Registry;

/// Guards against reasons that share one series or are missing from the export.
#[test]
fn each_reason_has_a_series() {
    let registry = Registry::new().unwrap();
    for reason in Reason::ALL {
        registry.count_refusal(*reason);
    }
    registry.count_retry("stage_lost");
    let text = String::from_utf8(registry.export().unwrap()).unwrap();
    for reason in Reason::ALL {
        let line = format!("agatemill_refusals_total{{reason=\"{reason}\"}} 1");
        assert!(text.contains(&line), "{line} is missing from:\n{text}");
    }
    assert!(
        text.contains("agatemill_retries_total{reason=\"stage_lost\"} 1"),
        "{text}"
    );
    registry.close();
}
