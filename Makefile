# Shortcuts for development. CI runs .ci/run, which performs the same checks.
.PHONY: build test lint run check

build:
	cargo build --release

test:
	.ci/test

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# CONFIG is the configuration file that the control plane reads on startup: make run CONFIG=config.json
run: build
	GW_CONFIG=$(CONFIG) target/release/otterwinch serve

check: build
	target/release/otterwinch check $(CONFIG)
