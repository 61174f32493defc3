//! Text forms of quantities.

use agatemill_core::quantity::Bandwidth;
use agatemill_core::quantity::Size;

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

/// Guards against a size that is read in another unit than it is written in, and against a process that does not start because
/// its platform renders whole sizes with a decimal point.
#[test]
fn sizes_are_read_back() {
    for (text, bytes, written) in [
        ("160MB", 160_000_000, "160MB"),
        ("160.0MB", 160_000_000, "160MB"),
        ("160MiB", 160 << 20, "160MiB"),
        ("64KiB", 64 << 10, "64KiB"),
        ("100B", 100, "100B"),
        ("0B", 0, "0B"),
    ] {
        let size: Size = text.parse().unwrap();
        assert_eq!(size, Size(bytes));
        assert_eq!(size.to_string(), written);
        assert_eq!(written.parse(), Ok(size));
    }
    for text in ["", "MB", "160", "-1MB", "1.5MB", ".0MB", "160M"] {
        assert!(text.parse::<Size>().is_err(), "{text}");
    }
}
