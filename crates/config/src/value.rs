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

/// Longest name of a section, version or key, in bytes.
const NAME_BYTES: usize = 63;

/// A type that a field's value can have.
pub trait Value: Sized {
    /// Description of the type for error messages.
    const EXPECTED: &'static str;

    /// Reads the value, or returns `None` if it does not have this type.
    fn parse(text: &str) -> Option<Self>;
}

/// Returns whether a text is a valid name: 1 to 63 letters, digits, `.`, `_` and `-`.
pub fn is_name(text: &str) -> bool {
    (1..=NAME_BYTES).contains(&text.len())
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

/// Events per second, for example `200/s`.
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
        decimal(text.strip_suffix("/s")?).map(Self)
    }
}

/// Share of a whole, for example `0.6` or `60%`.
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
            Some(percent) => decimal(percent)? / 100.0,
            None => decimal(text)?,
        };
        (share <= 1.0).then_some(Self(share))
    }
}

/// Number of bytes, for example `512`, `16KiB` or `1MiB`.
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
        scaled(text, &units).map(Self)
    }
}

impl Value for Duration {
    const EXPECTED: &'static str = "a duration such as 250ms, 2s, 30m or 2h";

    fn parse(text: &str) -> Option<Self> {
        let units = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)];
        scaled(text, &units).map(Self::from_millis)
    }
}

/// A choice between `yes` and `no`.
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

/// Path prefix: starts with `/`, does not end with one unless it is `/`, and has no query.
#[derive(Debug, Clone, PartialEq, Eq, Into)]
pub struct Prefix(pub String);

impl Value for Prefix {
    const EXPECTED: &'static str =
        "a path such as /labels, without a final /, a query or the reserved prefix /.azurenotch";

    fn parse(text: &str) -> Option<Self> {
        let plain = text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !b"?#".contains(&byte));
        let reserved = text == "/.azurenotch" || text.starts_with("/.azurenotch/");
        let closed = text == "/" || !text.ends_with('/');
        (text.starts_with('/') && text.len() <= 1024 && plain && closed && !reserved)
            .then(|| Self(text.to_owned()))
    }
}

/// Method of a request, in upper case.
#[derive(Debug, Clone, PartialEq, Eq, Display, Into)]
pub struct Method(pub String);

impl Value for Method {
    const EXPECTED: &'static str = "a list of methods in upper case, such as GET, HEAD";

    fn parse(text: &str) -> Option<Self> {
        let upper = text
            .bytes()
            .all(|byte| byte.is_ascii_uppercase() || byte == b'-');
        (upper && (1..=32).contains(&text.len()) && text != "CONNECT")
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
        decimal(text)
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
pub struct Base {
    /// Address of the endpoint.
    pub address: SocketAddr,
}

impl Value for Base {
    const EXPECTED: &'static str = "a base URL such as http://127.0.0.1:7000";

    fn parse(text: &str) -> Option<Self> {
        let address = text.strip_prefix("http://")?.parse::<SocketAddr>().ok()?;
        (address.port() != 0).then_some(Self { address })
    }
}

/// Values separated by commas; at least one.
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

/// A region with its share, for example `norte:60%`.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionShare {
    /// The region.
    pub region: Region,
    /// Its share.
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

/// Shows a bound of a range; the smallest positive number stands for "more than zero".
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

/// Reads an unsigned decimal number; `f64::from_str` alone also accepts signs, `inf` and `1e9`.
fn decimal(text: &str) -> Option<f64> {
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    plain
        .then(|| text.parse().ok())?
        .filter(|number: &f64| number.is_finite())
}

/// Reads a whole number followed by one of the units; the first matching unit counts.
fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (number, factor) = units
        .iter()
        .find_map(|(unit, factor)| text.strip_suffix(unit).map(|number| (number, factor)))?;
    let plain = number.bytes().all(|byte| byte.is_ascii_digit());
    plain
        .then(|| number.parse::<u64>().ok())??
        .checked_mul(*factor)
}
