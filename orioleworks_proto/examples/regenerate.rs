//! Writes `src/generated/inner.rs` from `proto/inner.proto`; no `protoc` is needed.

mod fields;

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let set = protox::compile([root.join("proto/inner.proto")], [root.join("proto")])?;
    prost_build::Config::new()
        .bytes(fields::BYTES_FIELDS)
        .out_dir(root.join("src/generated"))
        .compile_fds(set)?;
    Ok(())
}
