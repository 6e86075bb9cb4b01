//! Compiles the schemas, without protoc: to types for the code and to descriptors for the text format.

use prost::Message;
use std::path::PathBuf;

fn main() {
    let out = PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo sets it"));
    let files = protox::compile(["fleet.proto", "load.proto"], ["proto"]).expect("the schemas compile");
    std::fs::write(out.join("schemas.bin"), files.encode_to_vec()).expect("OUT_DIR can be written");
    prost_build::Config::new().compile_fds(files).expect("types are generated");
    println!("cargo:rerun-if-changed=proto");
}
