//! Makes the Rust code of the calls between boxes from its `.proto`, without `protoc`.

use std::{fs, path::PathBuf};

const INCLUDE: &str = "crates/wire/proto";

/// One definition and what is made of it.
struct Definition {
    proto: &'static str,
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

/// The root of the workspace.
pub(crate) fn root() -> PathBuf {
    let mut root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.pop();
    root
}

/// Writes the generated code.
pub(crate) fn write() -> Result<String, String> {
    for definition in &DEFINITIONS {
        let code = generate(definition)?;
        let path = definition.generated;
        fs::write(root().join(path), code).map_err(|e| format!("{path}: {e}"))?;
    }
    Ok("the generated code is written".to_owned())
}

/// Compares the committed code with what would be generated.
pub(crate) fn check() -> Result<String, String> {
    for definition in &DEFINITIONS {
        let path = definition.generated;
        let committed = fs::read_to_string(root().join(path)).map_err(|e| format!("{path}: {e}"))?;
        if committed != generate(definition)? {
            return Err(format!("{path} is not what {} gives: run `cargo xtask codegen`", definition.proto));
        }
    }
    Ok("the generated code is fresh".to_owned())
}

fn generate(definition: &Definition) -> Result<String, String> {
    let root = root();
    let proto = definition.proto;
    let descriptors = protox::compile([root.join(proto)], [root.join(INCLUDE)]).map_err(|e| format!("{proto}: {e}"))?;
    let dir = root.join("target/codegen");
    fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(&dir)
        .compile_fds(descriptors)
        .map_err(|e| format!("{proto}: {e}"))?;
    let made = dir.join(definition.package_file);
    let code = fs::read_to_string(&made).map_err(|e| format!("{}: {e}", made.display()))?;
    let file = proto.rsplit('/').next().unwrap_or(proto);
    Ok(format!("// Made by `cargo xtask codegen` from proto/{file}; do not edit.\n{code}"))
}
