//! Generator of the committed code of the wire crate from its `.proto` file.
//!
//! The generator is not part of the build. `cargo run -p codegen` writes the generated code;
//! `cargo run -p codegen -- --check` writes nothing, and fails if the committed code is stale.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const GENERATED_FILE: &str = "wisteria.v1.rs";

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    match run(check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "codegen: the committed code of crates/wire is stale; run `cargo run -p codegen`"
            );
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("codegen: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Writes the generated code and returns `true`.
///
/// With `check`, writes nothing and returns whether the committed code is up to date.
fn run(check: bool) -> Result<bool, Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../crates/wire");
    let committed = wire.join("src/generated").join(GENERATED_FILE);
    let generated = generate(&wire)?;
    if check {
        return Ok(fs::read_to_string(committed)? == generated);
    }
    fs::write(committed, generated)?;
    Ok(true)
}

/// Returns the code generated from the `.proto` file.
fn generate(wire: &Path) -> Result<String, Box<dyn Error>> {
    let proto = wire.join("proto/wisteria.proto");
    let descriptors = protox::compile([proto], [wire.join("proto")])?;
    let out = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../target/codegen");
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .bytes(".")
        .compile_fds(descriptors)?;
    Ok(fs::read_to_string(out.join(GENERATED_FILE))?)
}
