//! Makes the Rust code of the calls between boxes from its `.proto`, without `protoc`.

use std::{fs, path::PathBuf};

const PROTO: &str = "crates/wire/proto/peer.proto";
const INCLUDE: &str = "crates/wire/proto";
const GENERATED: &str = "crates/wire/src/generated.rs";
const PACKAGE_FILE: &str = "martenscale.peer.v1.rs";
const HEADER: &str = "// Made by `cargo xtask codegen` from proto/peer.proto; do not edit.\n";

/// The root of the workspace.
pub(crate) fn root() -> PathBuf {
    let mut root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.pop();
    root
}

/// Writes the generated code.
pub(crate) fn write() -> Result<String, String> {
    let code = generate()?;
    fs::write(root().join(GENERATED), code).map_err(|e| format!("{GENERATED}: {e}"))?;
    Ok(format!("{GENERATED} written"))
}

/// Compares the committed code with what would be generated.
pub(crate) fn check() -> Result<String, String> {
    let committed = fs::read_to_string(root().join(GENERATED)).map_err(|e| format!("{GENERATED}: {e}"))?;
    if committed != generate()? {
        return Err(format!("{GENERATED} is not what {PROTO} gives: run `cargo xtask codegen`"));
    }
    Ok(format!("{GENERATED} is fresh"))
}

fn generate() -> Result<String, String> {
    let root = root();
    let descriptors = protox::compile([root.join(PROTO)], [root.join(INCLUDE)]).map_err(|e| format!("{PROTO}: {e}"))?;
    let dir = root.join("target/codegen");
    fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(&dir)
        .compile_fds(descriptors)
        .map_err(|e| format!("{PROTO}: {e}"))?;
    let made = dir.join(PACKAGE_FILE);
    let code = fs::read_to_string(&made).map_err(|e| format!("{}: {e}", made.display()))?;
    Ok(format!("{HEADER}{code}"))
}
