//! Decimal numbers in headers.

/// Parses decimal digits with at most one point between them.
///
/// Returns `None` for anything else: signs, exponents, blanks, and numbers by name. A number beyond
/// the range of `f64` is infinite.
pub fn parse(text: &str) -> Option<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number =
        |digits: &str| !digits.is_empty() && digits.bytes().all(|it| it.is_ascii_digit());
    if !is_number(whole) || !is_number(fraction) {
        return None;
    }
    text.parse().ok()
}
