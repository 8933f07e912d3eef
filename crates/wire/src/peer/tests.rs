use super::*;

/// Guards against snapshot bytes that are encoded as an array of integers.
///
/// Without `serde_bytes`, each byte is encoded as an integer, and the message is a quarter larger.
#[test]
fn a_fetched_snapshot_is_encoded_as_bytes() {
    let fetched = Fetched::Snapshot {
        version: Version::default(),
        digest: Digest("0".repeat(64)),
        bytes: vec![0xff; 10_000],
    };
    let encoded = rmp_serde::to_vec(&fetched).expect("the message can be encoded");
    assert!(encoded.len() < 10_200, "{} bytes", encoded.len());
    assert_eq!(
        rmp_serde::from_slice::<Fetched>(&encoded).expect("decodable"),
        fetched
    );
}
