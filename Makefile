# What a contributor needs; CI runs .ci/run, which checks the same.
.PHONY: build test lint run check

build:
	cargo build --release

test:
	.ci/test

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# CONFIG is the file that the control plane reads at its start: make run CONFIG=config.json
run: build
	GW_CONFIG=$(CONFIG) target/release/otterwinch serve

check: build
	target/release/otterwinch check $(CONFIG)
