//! Detection of paths that a host and a backend server could interpret differently.

/// Returns whether decoding or normalising the path could turn it into a different path.
///
/// The route, and with it whether a key is required, is chosen by the path as sent. A dot segment,
/// plain or percent-encoded, could lead from the prefix of an open route to a keyed one.
pub fn is_ambiguous(path: &str) -> bool {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "/")
        .replace('\\', "/");
    decoded
        .split('/')
        .map(|segment| segment.split(';').next().unwrap_or(segment))
        .any(|segment| segment == "." || segment == "..")
}

#[cfg(test)]
mod tests;
