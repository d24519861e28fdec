/**
 * The command line, with a subcommand for each role and each operator action.
 */
package io.waxwingquay.command;
