use serde_json::Value;

/// The body for an engine: the caller's own, with the version chosen and always as a stream, so that a broken answer
/// can be resumed.
pub fn request(body: &[u8], version: &str) -> Result<Vec<u8>, serde_json::Error> {
    let mut body: Value = serde_json::from_slice(body)?;
    body["model"] = version.into();
    body["stream"] = true.into();
    serde_json::to_vec(&body)
}
