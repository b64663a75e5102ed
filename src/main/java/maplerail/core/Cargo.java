package maplerail.core;

/** What a front hands to the engines with a request. The broker carries it and never looks inside. */
public interface Cargo { }
