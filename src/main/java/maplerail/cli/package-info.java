/**
 * The command line: reads options and files, and starts what the command names. Bad usage or a bad file ends it with status 2.
 */
package maplerail.cli;
