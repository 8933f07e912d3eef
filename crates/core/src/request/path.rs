//! Paths that a host and a backend server could read differently.

/// Returns whether a backend server that decodes or normalises the path may see another one.
///
/// The route, and with it the need for a key, is chosen by the path as sent. A dot segment, plain
/// or percent-encoded, could lead from an open route's prefix to a keyed one.
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
