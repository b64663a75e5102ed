# Build, test, lint and run; each is one ordinary Maven or java call.
CONFIG ?= config.json
TOOLS ?=

.PHONY: build test format lint run

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

# Formats all sources as the build checks them.
format:
	mvn -q -B spotless:apply

# The format, the style, the compiler's warnings as errors, and the rules on which package may know which.
lint:
	mvn -q -B spotless:check checkstyle:check clean test -Dtest=ArchitectureTest

run: build
	java -XX:+UseSerialGC -Xmx80m -jar target/maplerail.jar serve --config $(CONFIG) $(if $(TOOLS),--tools $(TOOLS))
