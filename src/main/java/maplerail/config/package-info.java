/**
 * Configuration files and lists of engines as typed values. What is wrong with a file is a
 * {@link maplerail.config.ConfigException} that names the key.
 */
package maplerail.config;
