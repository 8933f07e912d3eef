//! Names and identifiers.

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
    /// Name of a workspace: one customer with one contract.
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

/// Number that tells a restarted host from its predecessor of the same name.
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

/// Identity of one write, chosen at random by the writer.
///
/// A writer that lost the answer of a write recognises its own write by this value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, From, AsRef, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Operation(pub u64);
