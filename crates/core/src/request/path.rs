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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case("/open/item" => false; "plain")]
    #[test_case("/open/v1.2/..item" => false; "dots inside a segment")]
    #[test_case("/open/../keyed" => true; "dot segment")]
    #[test_case("/open/%2E%2e/keyed" => true; "encoded dots")]
    #[test_case("/open/x%2f..%2F..%2fkeyed" => true; "encoded slashes")]
    #[test_case("/open/..%5ckeyed" => true; "encoded backslash")]
    #[test_case("/open/..;a=b/keyed" => true; "path parameter after dots")]
    fn a_path_cannot_leave_its_route_by_normalisation(path: &str) -> bool {
        is_ambiguous(path)
    }
}
