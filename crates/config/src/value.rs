//! Typed values of INI fields.

use crate::document::Access;
use azurenotch_wire::id::{DataCentre, Host, Region, Release, Route, Server, Service, Workspace};
use derive_more::{Deref, Display, Into};
use ipnet::IpNet;
use std::{
    fmt::{self, Display as _},
    net::SocketAddr,
    time::Duration,
};

/// Maximum length of the name of a section, version or key.
const MAX_NAME_BYTES: usize = 63;

/// Type of a field's value.
pub trait Value: Sized {
    /// Description of the type for error messages.
    const EXPECTED: &'static str;

    /// Parses the value; returns `None` if it is not valid for this type.
    fn parse(text: &str) -> Option<Self>;
}

/// Returns whether a text is a valid name: 1 to 63 letters, digits, `.`, `_` and `-`.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte))
}

macro_rules! names {
    ($($name:ty),*) => {$(
        impl Value for $name {
            const EXPECTED: &'static str =
                "a name of 1 to 63 letters, digits, '.', '_' and '-'";

            fn parse(text: &str) -> Option<Self> {
                is_name(text).then(|| text.into())
            }
        }
    )*};
}

names!(
    DataCentre, Host, Region, Release, Route, Server, Service, Workspace
);

/// Events per second, such as `200/s`.
#[derive(Clone, Copy, PartialEq, PartialOrd, Into)]
pub struct Rate(pub f64);

impl fmt::Debug for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", Bound(self.0))
    }
}

impl Value for Rate {
    const EXPECTED: &'static str = "a rate such as 200/s";

    fn parse(text: &str) -> Option<Self> {
        parse_decimal(text.strip_suffix("/s")?).map(Self)
    }
}

/// Share between 0 and 1, such as `0.6` or `60%`.
#[derive(Clone, Copy, PartialEq, PartialOrd, Into)]
pub struct Share(pub f64);

impl fmt::Debug for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Bound(self.0).fmt(f)
    }
}

impl Value for Share {
    const EXPECTED: &'static str = "a share between 0 and 1, such as 0.6 or 60%";

    fn parse(text: &str) -> Option<Self> {
        let share = match text.strip_suffix('%') {
            Some(percent) => parse_decimal(percent)? / 100.0,
            None => parse_decimal(text)?,
        };
        (share <= 1.0).then_some(Self(share))
    }
}

/// Number of bytes, such as `512`, `16KiB` or `1MiB`.
#[derive(Clone, Copy, PartialEq, PartialOrd, Into)]
pub struct Size(pub u64);

impl fmt::Debug for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl Value for Size {
    const EXPECTED: &'static str = "a size such as 512, 16KiB or 1MiB";

    fn parse(text: &str) -> Option<Self> {
        let units = [
            ("KiB", 1 << 10),
            ("MiB", 1 << 20),
            ("GiB", 1 << 30),
            ("B", 1),
            ("", 1),
        ];
        parse_scaled(text, &units).map(Self)
    }
}

impl Value for Duration {
    const EXPECTED: &'static str = "a duration such as 250ms, 2s, 30m or 2h";

    fn parse(text: &str) -> Option<Self> {
        let units = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)];
        parse_scaled(text, &units).map(Self::from_millis)
    }
}

/// Boolean written as `yes` or `no`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Into)]
pub struct Flag(pub bool);

impl Value for Flag {
    const EXPECTED: &'static str = "yes or no";

    fn parse(text: &str) -> Option<Self> {
        match text {
            "yes" => Some(Self(true)),
            "no" => Some(Self(false)),
            _ => None,
        }
    }
}

/// Path prefix of at most 1024 bytes that starts with `/`.
///
/// It has no query or fragment, ends with `/` only if it is `/`, and is not below the reserved
/// prefix `/.azurenotch`.
#[derive(Debug, Clone, PartialEq, Eq, Into)]
pub struct Prefix(pub String);

impl Value for Prefix {
    const EXPECTED: &'static str =
        "a path such as /labels, without a final /, a query or the reserved prefix /.azurenotch";

    fn parse(text: &str) -> Option<Self> {
        let has_valid_bytes = text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !b"?#".contains(&byte));
        let is_reserved = text == "/.azurenotch" || text.starts_with("/.azurenotch/");
        let has_valid_end = text == "/" || !text.ends_with('/');
        (text.starts_with('/')
            && text.len() <= 1024
            && has_valid_bytes
            && has_valid_end
            && !is_reserved)
            .then(|| Self(text.to_owned()))
    }
}

/// Method of a request, in upper case.
#[derive(Debug, Clone, PartialEq, Eq, Display, Into)]
pub struct Method(pub String);

impl Value for Method {
    const EXPECTED: &'static str = "a list of methods in upper case, such as GET, HEAD";

    fn parse(text: &str) -> Option<Self> {
        let is_upper_case = text
            .bytes()
            .all(|byte| byte.is_ascii_uppercase() || byte == b'-');
        (is_upper_case && (1..=32).contains(&text.len()) && text != "CONNECT")
            .then(|| Self(text.to_owned()))
    }
}

impl Value for Access {
    const EXPECTED: &'static str = "open or keyed";

    fn parse(text: &str) -> Option<Self> {
        match text {
            "open" => Some(Self::Open),
            "keyed" => Some(Self::Keyed),
            _ => None,
        }
    }
}

impl Value for u32 {
    const EXPECTED: &'static str = "a whole number";

    fn parse(text: &str) -> Option<Self> {
        text.bytes()
            .all(|byte| byte.is_ascii_digit())
            .then(|| text.parse().ok())?
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn parse(text: &str) -> Option<Self> {
        parse_decimal(text)
    }
}

impl Value for SocketAddr {
    const EXPECTED: &'static str = "an address such as 127.0.0.1:8080";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for IpNet {
    const EXPECTED: &'static str = "an IP prefix without host bits, such as 127.1.0.0/16";

    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|net: &Self| net.trunc() == *net)
    }
}

/// Base URL of a platform endpoint, `http://IP:PORT`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("http://{address}")]
pub struct BaseUrl {
    /// Address of the endpoint.
    pub address: SocketAddr,
}

impl Value for BaseUrl {
    const EXPECTED: &'static str = "a base URL such as http://127.0.0.1:7000";

    fn parse(text: &str) -> Option<Self> {
        let address = text.strip_prefix("http://")?.parse::<SocketAddr>().ok()?;
        (address.port() != 0).then_some(Self { address })
    }
}

/// Comma-separated values; at least one.
#[derive(Debug, Clone, PartialEq, Eq, Deref)]
pub struct List<T>(pub Vec<T>);

impl<T: Value> Value for List<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn parse(text: &str) -> Option<Self> {
        text.split(',')
            .map(|item| T::parse(item.trim()))
            .collect::<Option<_>>()
            .map(Self)
    }
}

/// Region with its share, such as `norte:60%`.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionShare {
    /// Name of the region.
    pub region: Region,
    /// Share of the region, above 0.
    pub share: Share,
}

impl Value for RegionShare {
    const EXPECTED: &'static str =
        "a list of regions with shares above 0, such as norte:0.6, sul:50%";

    fn parse(text: &str) -> Option<Self> {
        let (region, share) = text.split_once(':')?;
        Some(Self {
            region: Region::parse(region.trim_end())?,
            share: Share::parse(share.trim_start()).filter(|share| share.0 > 0.0)?,
        })
    }
}

/// Formats a bound of a range; the smallest positive number is written as `>0`.
struct Bound(f64);

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 > 0.0 && self.0 <= f64::MIN_POSITIVE {
            f.write_str(">0")
        } else {
            self.0.fmt(f)
        }
    }
}

/// Parses an unsigned decimal number.
///
/// `f64::from_str` alone would also accept signs, `inf` and `1e9`.
fn parse_decimal(text: &str) -> Option<f64> {
    let has_valid_bytes = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    has_valid_bytes
        .then(|| text.parse().ok())?
        .filter(|number: &f64| number.is_finite())
}

/// Parses a whole number with a unit and returns the number in the base unit.
///
/// The first matching suffix in `units` is used.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, factor) = units
        .iter()
        .find_map(|(unit, factor)| text.strip_suffix(unit).map(|number| (number, factor)))?;
    let is_whole_number = number.bytes().all(|byte| byte.is_ascii_digit());
    is_whole_number
        .then(|| number.parse::<u64>().ok())??
        .checked_mul(*factor)
}
