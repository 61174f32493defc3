//! Text forms of quantities.

use agatemill_core::quantity::Bandwidth;

/// Guards against a link that is read in another unit than it is written in.
#[test]
fn bandwidths_are_read_back() {
    for (text, bits_per_s, written) in [
        ("20.0Mbit/s", 20_000_000, "20Mbit/s"),
        ("1000Mbit/s", 1_000_000_000, "1000Mbit/s"),
        ("0.5Mbit/s", 500_000, "0.5Mbit/s"),
        ("0Mbit/s", 0, "0Mbit/s"),
    ] {
        let bandwidth: Bandwidth = text.parse().unwrap();
        assert_eq!(bandwidth, Bandwidth { bits_per_s });
        assert_eq!(bandwidth.to_string(), written);
        assert_eq!(written.parse(), Ok(bandwidth));
    }
}

/// Guards against a link of unknown throughput that counts as a fast one.
#[test]
fn texts_that_are_no_bandwidth_are_rejected() {
    for text in [
        "",
        "20",
        "Mbit/s",
        "-1Mbit/s",
        "NaNMbit/s",
        "infMbit/s",
        "20MB/s",
    ] {
        assert!(text.parse::<Bandwidth>().is_err(), "{text}");
    }
}
