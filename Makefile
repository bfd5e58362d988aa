BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files '*.c' '*.h' | grep -v 'pb-c')

all: build

deps:
	./.ci/install

build:
	cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

check: deps build
	./test/run $(BUILD)

demo: deps build
	./test/demo $(BUILD)

bench: build
	./bench/run $(BUILD)

measure: build
	./$(BUILD)/bench-measure $(BUILD)/measure.dat
	./$(BUILD)/bench-tick

model:
	./spec/run

proto:
	protoc-c --proto_path=src/codec/proto --c_out=src/codec/proto \
		src/codec/proto/*.proto

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run --Werror $(SOURCES)

lint: build
	./.ci/lint $(BUILD)

install: build
	cmake --install $(BUILD)

clean:
	rm -rf build build-*

.PHONY: all deps build check demo bench measure model proto format \
	format-check lint install clean
