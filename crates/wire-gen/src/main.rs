//! Generates the code of the crate `corianderfork-wire`.
//!
//! Run it after a change of `peer.proto` and commit the result; the build itself
//! needs no generator.
//!
//! ```sh
//! cargo run -p corianderfork-wire-gen
//! ```

use std::path::Path;

const PROTO_FILE: &str = "proto/peer.proto";

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let wire_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let descriptors = protox::compile([wire_dir.join(PROTO_FILE)], [wire_dir.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(wire_dir.join("src/generated"))
        .compile_fds(descriptors)?;
    Ok(())
}
