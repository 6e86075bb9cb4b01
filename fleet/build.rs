//! Compiles the protobuf schemas, without protoc, to Rust types and to the descriptors with which the text
//! format is parsed.

use prost::Message;
use std::path::PathBuf;

fn main() {
    let out = PathBuf::from(std::env::var_os("OUT_DIR").expect("Cargo sets OUT_DIR"));
    let files = protox::compile(["fleet.proto", "load.proto"], ["proto"]).expect("the schemas compile");
    std::fs::write(out.join("schemas.bin"), files.encode_to_vec()).expect("OUT_DIR can be written");
    prost_build::Config::new().compile_fds(files).expect("types are generated");
    println!("cargo:rerun-if-changed=proto");
}
