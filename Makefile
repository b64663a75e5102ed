# Build, test, lint and run; each is one ordinary Maven or java call.
CONFIG ?= config.json
TOOLS ?=

.PHONY: build test lint run

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

# The compiler's warnings as errors, and the rules on which package may know which.
lint:
	mvn -q -B clean test -Dmaven.compiler.failOnWarning=true -Dtest=ArchitectureTest

run: build
	java -XX:+UseSerialGC -Xmx80m -jar target/maplerail.jar serve --config $(CONFIG) $(if $(TOOLS),--tools $(TOOLS))
