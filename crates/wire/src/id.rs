//! Names and identifiers of the parts of the system.

use derive_more::{AsRef, Display, From, FromStr};
use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, sync::Arc};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// Name of an entry host.
    Host
}
name! {
    /// Name of a data centre.
    DataCentre
}
name! {
    /// Name of a region, which holds one or more data centres.
    Region
}
name! {
    /// Name of a workspace, which is one customer with one contract.
    Workspace
}
name! {
    /// Name of a service that backend servers offer.
    Service
}
name! {
    /// Name of a backend server.
    Server
}
name! {
    /// Name of a route.
    Route
}
name! {
    /// Version label of a service, for example `2` or `2026-12`.
    Release
}

/// Number of one run of a host process, which differs after each restart under the same name.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    From,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Incarnation(pub u64);

/// Identifier of one write, chosen at random by the writer.
///
/// A writer that did not receive the response to a write reads the row back and compares this value
/// to find out whether the write was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, From, AsRef, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Operation(pub u64);
