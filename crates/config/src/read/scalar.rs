//! Scalar values.

use core::net::SocketAddr;

use compact_str::CompactString;
use toml::de::DeValue;

use agatemill_core::Digest;
use agatemill_core::Priority;
use agatemill_core::id;
use agatemill_core::layer;
use agatemill_core::quantity::Rate;
use agatemill_core::quantity::Size;
use agatemill_core::quantity::Time;

/// A type that is read from one TOML scalar.
pub(crate) trait Scalar: Sized {
    /// Description of the expected value, for faults.
    const EXPECTED: &'static str;

    /// Converts a TOML value; `None` when the type or the text does not match.
    fn from_value(value: &DeValue<'_>) -> Option<Self>;
}

impl Scalar for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_value(value: &DeValue<'_>) -> Option<Self> {
        value.as_bool()
    }
}

impl Scalar for u32 {
    const EXPECTED: &'static str = "a whole number from 0 to 4294967295";

    fn from_value(value: &DeValue<'_>) -> Option<Self> {
        let integer = value.as_integer()?;
        Self::from_str_radix(integer.as_str(), integer.radix()).ok()
    }
}

impl Scalar for CompactString {
    const EXPECTED: &'static str = "a text in quotes";

    fn from_value(value: &DeValue<'_>) -> Option<Self> {
        value.as_str().map(Self::new)
    }
}

macro_rules! parsed {
    ($($type:ty: $expected:expr;)+) => {$(
        impl Scalar for $type {
            const EXPECTED: &'static str = $expected;

            fn from_value(value: &DeValue<'_>) -> Option<Self> {
                value.as_str()?.parse().ok()
            }
        }
    )+};
}

const ID: &str =
    "a name of 1 to 64 letters, digits, '.', '_' and '-' that starts with a letter or digit";

parsed! {
    id::Accelerator: ID;
    id::Half: ID;
    id::Model: ID;
    id::Organisation: ID;
    id::Region: ID;
    id::Server: ID;
    id::Service: ID;
    id::Version: ID;
    id::Zone: ID;
    layer::Range: "a range of at least one layer, such as \"0..8\"";
    Digest: "a SHA-256 digest of 64 hexadecimal digits";
    Priority: "\"batch\", \"normal\" or \"interactive\"";
    Rate: "a rate that is not negative, such as \"2.5/s\"";
    Size: "a size in B, KiB, MiB or GiB, such as \"64KiB\"";
    SocketAddr: "an IP address with port, such as \"10.0.0.7:7001\"";
    Time: "a time in ms, s, m, h or d, such as \"250ms\"";
}
