//! Statuses that are answers of HTTP.

use http::StatusCode;

/// Returns whether a status ends the answer to a request, as RFC 9110 defines them (200 to 599).
///
/// The HTTP library also accepts 600 to 999, and 101 without a requested upgrade. What sends one of
/// these is in trouble: the request may have run, and the rest of the connection is no answer either.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

#[cfg(test)]
mod tests;
