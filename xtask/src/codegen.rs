//! Generates the Rust code of the calls between boxes from the `.proto` files. The files are compiled in Rust, so that
//! `protoc` need not be installed.

use std::{fs, path::PathBuf};

const INCLUDE_DIR: &str = "crates/wire/proto";

/// A `.proto` file and the code generated from it, as paths from the root of the workspace.
struct Definition {
    proto: &'static str,
    /// Name that the generator gives to the file of the package.
    package_file: &'static str,
    generated: &'static str,
}

const DEFINITIONS: [Definition; 2] = [
    Definition {
        proto: "crates/wire/proto/peer.proto",
        package_file: "martenscale.peer.v1.rs",
        generated: "crates/wire/src/generated.rs",
    },
    Definition {
        proto: "crates/wire/proto/relay.proto",
        package_file: "martenscale.relay.v1.rs",
        generated: "crates/wire/src/relay_generated.rs",
    },
];

/// Returns the root of the workspace.
pub(crate) fn root() -> PathBuf {
    let mut root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.pop();
    root
}

/// Generates the code and writes it to the source tree.
pub(crate) fn write() -> Result<String, String> {
    for definition in &DEFINITIONS {
        let code = generate(definition)?;
        let path = definition.generated;
        fs::write(root().join(path), code).map_err(|e| format!("{path}: {e}"))?;
    }
    Ok("wrote the generated code".to_owned())
}

/// Checks that the committed code equals the generated code.
pub(crate) fn check() -> Result<String, String> {
    for definition in &DEFINITIONS {
        let path = definition.generated;
        let committed = fs::read_to_string(root().join(path)).map_err(|e| format!("{path}: {e}"))?;
        if committed != generate(definition)? {
            return Err(format!(
                "{path} differs from the code generated from {}: run `cargo xtask codegen`",
                definition.proto
            ));
        }
    }
    Ok("the generated code is up to date".to_owned())
}

fn generate(definition: &Definition) -> Result<String, String> {
    let root = root();
    let proto = definition.proto;
    let descriptors =
        protox::compile([root.join(proto)], [root.join(INCLUDE_DIR)]).map_err(|e| format!("{proto}: {e}"))?;
    let dir = root.join("target/codegen");
    fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(&dir)
        .compile_fds(descriptors)
        .map_err(|e| format!("{proto}: {e}"))?;
    let generated = dir.join(definition.package_file);
    let code = fs::read_to_string(&generated).map_err(|e| format!("{}: {e}", generated.display()))?;
    let file = proto.rsplit('/').next().unwrap_or(proto);
    Ok(format!("// Made by `cargo xtask codegen` from proto/{file}; do not edit.\n{code}"))
}
